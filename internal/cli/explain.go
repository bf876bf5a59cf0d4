package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/egretmux/egretmux/internal/explain"
)

// explainCommand prints the events of one job or request from logs, and a verdict.
type explainCommand struct {
	*app
	Logs []string `long:"logs" description:"log file of an instance; may be given several times; - reads standard input" required:"yes"`
	Args struct {
		ID string `positional-arg-name:"ID" description:"id of the job or request, or \"version N\" of a configuration"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute(moreLogs []string) error {
	r := explain.NewReader(c.Args.ID)
	for _, name := range append(c.Logs, moreLogs...) {
		if err := readLog(r, name); err != nil {
			return errors.Wrapf(err, "%s cannot be read", name)
		}
	}
	timeline := r.Timeline()
	if c.globals.Output == "json" {
		return json.NewEncoder(c.out).Encode(timeline)
	}
	err := c.printTable("TIME INSTANCE EVENT REASON TASK WORKER RUN AGE_MS", func(add func(cells ...any)) {
		for _, l := range timeline.Lines {
			add(l.Time.Format("15:04:05.000"), l.Instance, l.Event, orDash(l.Reason), orDash(strings.TrimPrefix(l.Task, timeline.ID+".")), orDash(l.Worker), l.Run, l.AgeMs)
		}
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "%s: %s\n", timeline.ID, timeline.Verdict)
	if err == nil && timeline.Skipped > 0 {
		_, err = fmt.Fprintf(c.out, "%d lines could not be read\n", timeline.Skipped)
	}
	return err
}

func readLog(r *explain.Reader, name string) error {
	if name == "-" {
		return r.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return r.Read(file)
}
