package standin

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// JournalEntry is one line of a journal.
type JournalEntry struct {
	At      time.Time `json:"at"`
	What    string    `json:"what"`
	Who     string    `json:"who"`
	Task    uint64    `json:"task,omitempty"`
	Attempt uint64    `json:"attempt,omitempty"`
	Member  int32     `json:"member,omitempty"`
	Request string    `json:"request,omitempty"`
	Key     string    `json:"key,omitempty"`
	Detail  string    `json:"detail,omitempty"`

	Instance string    `json:"instance,omitempty"` // callers address of the instance that was called
	Began    time.Time `json:"began,omitzero"`
}

// Journal appends entries to a file, one JSON object per line. A nil Journal
// discards them.
type Journal struct {
	mu   sync.Mutex
	file *os.File
}

// OpenJournal opens a journal for appending; an empty name returns nil.
func OpenJournal(name string) (*Journal, error) {
	if name == "" {
		return nil, nil
	}
	const mode = 0o640
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, mode)
	if err != nil {
		return nil, err
	}
	return &Journal{file: file}, nil
}

// Write stamps an entry with the current time and appends it.
func (j *Journal) Write(e JournalEntry) {
	if j == nil {
		return
	}
	e.At = time.Now()
	line, err := json.Marshal(e)
	if err != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = j.file.Write(append(line, '\n'))
}
