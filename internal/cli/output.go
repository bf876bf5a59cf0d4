package cli

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// print writes a message as JSON, or a table with the rows that rows adds.
func (a *app) print(msg proto.Message, header string, rows func(add func(cells ...any))) error {
	if a.globals.Output == "json" {
		data, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true, UseProtoNames: true}.Marshal(msg)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(a.out, string(data))
		return err
	}
	return a.printTable(header, rows)
}

// printTable writes the column names of header, separated by spaces, and the rows.
func (a *app) printTable(header string, rows func(add func(cells ...any))) error {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	rows(func(cells ...any) {
		texts := make([]string, len(cells))
		for i, c := range cells {
			texts[i] = fmt.Sprint(c)
		}
		_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
	})
	return w.Flush()
}

func shortEnum(name, prefix string) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(name, prefix), "_", "-"))
}

func phaseName(p egretmuxv1.TaskPhase) string { return shortEnum(p.String(), "TASK_PHASE_") }

func kindName(k egretmuxv1.TaskKind) string { return shortEnum(k.String(), "TASK_KIND_") }

func attemptName(p egretmuxv1.AttemptPhase) string { return shortEnum(p.String(), "ATTEMPT_PHASE_") }

func workerPhaseName(p egretmuxv1.WorkerPhase) string { return shortEnum(p.String(), "WORKER_PHASE_") }

func formatTime(unixMs int64) string {
	if unixMs == 0 {
		return "-"
	}
	return time.UnixMilli(unixMs).UTC().Format("2006-01-02T15:04:05Z")
}

func formatResources(r *egretmuxv1.Resources) string {
	const millis, mib = 1000, 1024
	return fmt.Sprintf("%.4g/%.4gG/%d", float64(r.GetCpuMillis())/millis, float64(r.GetMemoryMib())/mib, r.GetAccelerators())
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
