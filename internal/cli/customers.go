package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/inifile"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
)

// customers prints what the customers of a cell that runs jobs use, wait for and are refused.
type customers struct {
	*app
	Cell    string `long:"cell" env:"EGRETMUX_CELL" required:"yes" description:"cell addresses of instances, separated by commas, tried in turn"`
	KeyFile string `long:"cell-key-file" env:"EGRETMUX_CELL_KEY_FILE" description:"file with the secret between instances, if their cell listeners check one"`
}

// Execute implements flags.Commander.
func (c *customers) Execute([]string) error {
	resp, err := c.fetch()
	if err != nil {
		return err
	}
	return c.print(resp, "CUSTOMER WEIGHT FAIR SHARE RATE QUOTA IN_USE JOBS WAITING HELD_BY_QUOTA OVER_RATE REFUSED", func(add func(...any)) {
		for _, u := range resp.GetCustomers() {
			add(u.GetName(), fmt.Sprintf("%.4g", u.GetWeight()), formatShare(u.GetFairShare()), formatShare(u.GetDominantShare()), orNoLimit(u.GetJobsPerSecond()),
				formatQuota(u.GetQuota()), formatResources(u.GetInUse()), u.GetOpenJobs(), u.GetWaitingTasks(), u.GetHeldByQuota(), u.GetOverRateJobs(), formatRefused(u.GetRefused()))
		}
	})
}

// fetch asks one instance after the other until one answers.
func (c *customers) fetch() (*egretmuxv1.ShowCustomersResponse, error) {
	addresses := splitAddresses(c.Cell)
	if len(addresses) == 0 {
		return nil, &exitError{ExitUsage, "--cell names no instance"}
	}
	key := ""
	if c.KeyFile != "" {
		text, err := inifile.ReadFile(c.KeyFile)
		if err != nil {
			return nil, &exitError{ExitUsage, "--cell-key-file: " + err.Error()}
		}
		key = strings.TrimSpace(text)
	}
	dialer, err := peer.NewDialer(key, c.globals.CA)
	if err != nil {
		return nil, &exitError{ExitUsage, "--ca: " + err.Error()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.globals.Timeout)
	defer cancel()
	var refused error
	for _, address := range addresses {
		attempt, cancelAttempt := context.WithTimeout(ctx, minAttemptTimeout)
		resp, err := dialer.Clients(address).Jobs.ShowCustomers(attempt, connect.NewRequest(&egretmuxv1.ShowCustomersRequest{}))
		cancelAttempt()
		if err == nil {
			return resp.Msg, nil
		}
		refused, _ = refusalrpc.From(err)
	}
	return nil, refused
}

func formatShare(part float64) string { return fmt.Sprintf("%.1f%%", 100*part) }

// orNoLimit formats a limit whose zero value means that there is none.
func orNoLimit(limit float64) string {
	if limit == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4g", limit)
}

func formatQuota(q *egretmuxv1.Resources) string {
	if q.GetCpuMillis() == 0 && q.GetMemoryMib() == 0 && q.GetAccelerators() == 0 {
		return "-"
	}
	return formatResources(q)
}

// formatRefused lists the refused submits by reason.
func formatRefused(byReason map[string]uint64) string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(byReason)) {
		parts = append(parts, fmt.Sprintf("%s:%d", reason, byReason[reason]))
	}
	return orDash(strings.Join(parts, ","))
}
