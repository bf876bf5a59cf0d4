// Command standin plays scenarios against processes of egretmuxd: it starts a small cell and
// plays its operator, clients, runners and machines' API by the protocol of the platform.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a scenario: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// logf writes a line with the seconds since the start of the scenario.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
