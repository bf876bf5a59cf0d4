// Package explain reads the logs of several instances and reconstructs the
// timeline of one job, request or configuration: each decision with its place and inputs, and the
// cause of the outcome.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the longest line of a log that is read.
const maxLineBytes = 1 << 20

// Line is one event of the timeline.
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
	Context  bool           `json:"context,omitempty"` // the event is of the cell, an instance or a worker, not of the job itself
}

// Timeline holds the events of one job or request in the order of time.
type Timeline struct {
	ID      string `json:"id"`
	Lines   []Line `json:"lines"`
	Verdict string `json:"verdict"`
	Skipped int    `json:"skipped"` // lines that could not be read
}

// Reader collects the events of one job or request from one or several logs.
type Reader struct {
	id           string
	lines        []Line
	contextLines []Line
	skipped      int
}

// NewReader returns a reader for a job's or a request's id, or for a configuration ("version 7").
func NewReader(id string) *Reader { return &Reader{id: id} }

// contextEvents are events of the cell, its instances and its workers that may
// explain what happened to a job. The timeline includes those between the job's
// first and last event; of workers, only those of workers that its events name.
var contextEvents = []string{
	"tenure_began", "tenure_ended", "worker_silent", "worker_gone", "worker_draining", "worker_leaving", "worker_resting",
	"instance_started", "instance_stopped", "log_lines_dropped",
	"voter_missing", "leader_missing", "replica_stalled", "replica_resumed",
}

// Read adds the events of one log. It ignores text before the first brace of a
// line, such as a time or a host name that a log collector has added.
func (r *Reader) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
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
		r.addLine(fields)
	}
	return scanner.Err()
}

func (r *Reader) addLine(fields map[string]any) {
	event, _ := fields["event"].(string)
	matches := r.matchesID(fields)
	if !matches && !slices.Contains(contextEvents, event) {
		return
	}
	line := Line{Event: event, Context: !matches, Other: make(map[string]any)}
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
			line.Time = at
		case "instance":
			line.Instance = text
		case "reason":
			line.Reason = text
		case "task":
			line.Task = text
		case "worker":
			line.Worker = text
		case "run":
			line.Run = uint64(number)
		case "age_ms":
			line.AgeMs = int64(number)
		case "event", "level", "job", "message":
		default:
			line.Other[name] = value
		}
	}
	if matches {
		r.lines = append(r.lines, line)
	} else {
		r.contextLines = append(r.contextLines, line)
	}
}

// matchesID reports whether a line is about the job, request or configuration, or a part of it.
func (r *Reader) matchesID(fields map[string]any) bool {
	if version, ok := fields["version"].(float64); ok && r.id == fmt.Sprintf("version %.0f", version) {
		return true
	}
	for _, name := range []string{"job", "request", "path", "step", "task"} {
		if text, ok := fields[name].(string); ok && (text == r.id || strings.HasPrefix(text, r.id+".") || strings.HasSuffix(text, "/"+r.id)) {
			return true
		}
	}
	return false
}

// Timeline returns the events read so far, with a verdict.
func (r *Reader) Timeline() Timeline {
	timeline := Timeline{ID: r.id, Lines: r.lines, Skipped: r.skipped}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(timeline.Lines, byTime)
	timeline.Verdict = verdict(timeline.Lines) + stalledCallsVerdict(timeline.Lines)
	if len(timeline.Lines) == 0 {
		return timeline
	}
	first, last := timeline.Lines[0].Time, timeline.Lines[len(timeline.Lines)-1].Time
	workers := make(map[string]bool)
	for _, l := range timeline.Lines {
		workers[l.Worker] = true
	}
	for _, l := range r.contextLines {
		if l.Time.Before(first) || l.Time.After(last) || (l.Worker != "" && !workers[l.Worker]) {
			continue
		}
		timeline.Lines = append(timeline.Lines, l)
	}
	slices.SortStableFunc(timeline.Lines, byTime)
	return timeline
}
