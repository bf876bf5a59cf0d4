// Package explain reads the logs of several instances and tells the story of
// one job or request: what was decided where, on which inputs, and what decided
// its end.
package explain

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// Line is one event of the story.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Event    string         `json:"event"`
	Reason   string         `json:"reason,omitempty"`
	Task     string         `json:"task,omitempty"`
	Worker   string         `json:"worker,omitempty"`
	Run      uint64         `json:"run,omitempty"`
	AgeMs    int64          `json:"age_ms,omitempty"`
	Other    map[string]any `json:"other,omitempty"`
	Context  bool           `json:"context,omitempty"` // of the cell or a worker, not of the job itself
}

// Timeline is what the logs tell of one id.
type Timeline struct {
	ID      string `json:"id"`
	Lines   []Line `json:"lines"`
	Verdict string `json:"verdict"`
	Skipped int    `json:"skipped"` // lines that could not be read
}

// Reader gathers the lines of one or several logs.
type Reader struct {
	id      string
	lines   []Line
	context []Line
	skipped int
}

// NewReader returns a reader for a job's or a request's id.
func NewReader(id string) *Reader { return &Reader{id: id} }

// contextEvents change what the cell believes. They are shown when they lie
// within the job's life.
var contextEvents = []string{
	"tenure_began", "tenure_ended", "worker_silent", "worker_gone", "worker_draining", "worker_resting",
	"instance_started", "instance_stopped", "log_lines_dropped",
}

// Read takes up one log. Text before the first brace of a line, such as a time
// or a host that a collector added, is left out.
func (r *Reader) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			if strings.TrimSpace(text) != "" {
				r.skipped++
			}
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
			r.skipped++
			continue
		}
		r.take(fields)
	}
	return scanner.Err()
}

func (r *Reader) take(fields map[string]any) {
	event, _ := fields["event"].(string)
	own := r.concerns(fields)
	if !own && !slices.Contains(contextEvents, event) {
		return
	}
	l := Line{Event: event, Context: !own, Other: make(map[string]any)}
	for name, value := range fields {
		text, _ := value.(string)
		number, _ := value.(float64)
		switch name {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, text)
			if err != nil {
				r.skipped++
				return
			}
			l.Time = at
		case "instance":
			l.Instance = text
		case "reason":
			l.Reason = text
		case "task":
			l.Task = text
		case "worker":
			l.Worker = text
		case "run":
			l.Run = uint64(number)
		case "age_ms":
			l.AgeMs = int64(number)
		case "event", "level", "job", "message":
		default:
			l.Other[name] = value
		}
	}
	if own {
		r.lines = append(r.lines, l)
	} else {
		r.context = append(r.context, l)
	}
}

// concerns reports whether a line is about the id.
func (r *Reader) concerns(fields map[string]any) bool {
	for _, name := range []string{"job", "request", "path", "step", "task"} {
		if text, ok := fields[name].(string); ok && (text == r.id || strings.HasPrefix(text, r.id+".") || strings.HasSuffix(text, "/"+r.id)) {
			return true
		}
	}
	return false
}

// Timeline returns what was read, in the order of time.
func (r *Reader) Timeline() Timeline {
	s := Timeline{ID: r.id, Lines: r.lines, Skipped: r.skipped}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.Lines, byTime)
	s.Verdict = verdict(s.Lines)
	if len(s.Lines) == 0 {
		return s
	}
	first, last := s.Lines[0].Time, s.Lines[len(s.Lines)-1].Time
	workers := make(map[string]bool)
	for _, l := range s.Lines {
		workers[l.Worker] = true
	}
	for _, l := range r.context {
		if l.Time.Before(first) || l.Time.After(last) || (l.Worker != "" && !workers[l.Worker]) {
			continue
		}
		s.Lines = append(s.Lines, l)
	}
	slices.SortStableFunc(s.Lines, byTime)
	return s
}
