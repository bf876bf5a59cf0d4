// Package capacity measures the resource use of each role of a cell while one size,
// such as the number of workers, grows, and fits lines to it.
package capacity

import (
	"bufio"
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Target is a process whose /metrics page is read.
type Target struct {
	Name    string
	Role    string // leader, voter, entry or fleet
	Address string
	Token   string // bearer token for /metrics
}

// Quantity is a measured quantity of a process. Its value names the unit.
type Quantity string

// Quantities.
const (
	CPU      Quantity = "cpu_millicores"
	Memory   Quantity = "memory_kib"    // resident
	Heap     Quantity = "live_heap_kib" // after the last garbage collection
	Traffic  Quantity = "control_bytes_per_s"
	Messages Quantity = "control_messages_per_s"
)

// Row is one measured value: the mean over the processes of a role.
type Row struct {
	Series   string
	Size     float64
	Role     string
	Quantity Quantity
	Value    float64
}

// processMetrics are the metrics of one process at one time.
type processMetrics struct {
	at                                                             time.Time
	cpuSeconds, residentBytes, nextGCBytes, trafficBytes, messages float64
}

func readMetrics(ctx context.Context, target Target) (processMetrics, error) {
	m := processMetrics{at: time.Now()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+"/metrics", nil)
	if err != nil {
		return m, err
	}
	req.Header.Set("Authorization", "Bearer "+target.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return m, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return m, errors.Newf("/metrics answered %s", resp.Status)
	}
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		name, text, ok := strings.Cut(scanner.Text(), " ")
		if !ok || strings.HasPrefix(name, "#") {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		m.addMetric(name, value)
	}
	return m, scanner.Err()
}

func (m *processMetrics) addMetric(name string, value float64) {
	switch {
	case name == "process_cpu_seconds_total":
		m.cpuSeconds = value
	case name == "process_resident_memory_bytes":
		m.residentBytes = value
	case name == "go_memstats_next_gc_bytes":
		m.nextGCBytes = value
	case strings.HasPrefix(name, "egretmux_traffic_bytes_total"):
		m.trafficBytes += value
	case strings.HasPrefix(name, "egretmux_messages_total"):
		m.messages += value
	}
}

// Sample reads the targets twice and returns the mean of each role.
func Sample(ctx context.Context, series string, size float64, targets []Target, window time.Duration) ([]Row, error) {
	before := make([]processMetrics, len(targets))
	for i, t := range targets {
		var err error
		if before[i], err = readMetrics(ctx, t); err != nil {
			return nil, errors.Wrapf(err, "%s", t.Name)
		}
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(window):
	}
	sums := make(map[string]map[Quantity]float64)
	counts := make(map[string]float64)
	for i, t := range targets {
		after, err := readMetrics(ctx, t)
		if err != nil {
			return nil, errors.Wrapf(err, "%s", t.Name)
		}
		if sums[t.Role] == nil {
			sums[t.Role] = make(map[Quantity]float64)
		}
		for q, v := range usageBetween(before[i], after) {
			sums[t.Role][q] += v
		}
		counts[t.Role]++
	}
	return meansByRole(series, size, sums, counts), nil
}

func usageBetween(before, after processMetrics) map[Quantity]float64 {
	const kib, millis = 1024, 1000
	seconds := after.at.Sub(before.at).Seconds()
	return map[Quantity]float64{
		CPU:      (after.cpuSeconds - before.cpuSeconds) / seconds * millis,
		Memory:   after.residentBytes / kib,
		Heap:     after.nextGCBytes / 2 / kib, // the collector runs when the live heap has doubled
		Traffic:  (after.trafficBytes - before.trafficBytes) / seconds,
		Messages: (after.messages - before.messages) / seconds,
	}
}

func meansByRole(series string, size float64, sums map[string]map[Quantity]float64, counts map[string]float64) []Row {
	var rows []Row
	for role, quantities := range sums {
		for q, v := range quantities {
			rows = append(rows, Row{series, size, role, q, v / counts[role]})
		}
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Role != rows[j].Role {
			return rows[i].Role < rows[j].Role
		}
		return rows[i].Quantity < rows[j].Quantity
	})
	return rows
}

// Append adds rows to a CSV file.
func Append(file string, rows []Row) error {
	const mode = 0o644
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, mode)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	w := csv.NewWriter(f)
	for _, r := range rows {
		if err := w.Write([]string{r.Series, strconv.FormatFloat(r.Size, 'g', -1, 64), r.Role, string(r.Quantity), fmt.Sprintf("%.3f", r.Value)}); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}

// Load reads a CSV file written by Append.
func Load(file string) ([]Row, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	reader := csv.NewReader(f)
	var rows []Row
	for {
		cells, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return rows, nil
		}
		if err != nil {
			return nil, err
		}
		size, err1 := strconv.ParseFloat(cells[1], 64)
		value, err2 := strconv.ParseFloat(cells[4], 64)
		if err := errors.CombineErrors(err1, err2); err != nil {
			return nil, errors.Wrap(err, file)
		}
		rows = append(rows, Row{cells[0], size, cells[2], Quantity(cells[3]), value})
	}
}
