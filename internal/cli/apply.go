package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/rs/xid"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/refusal"
)

// changeOptions are the options of commands that change a contract.
type changeOptions struct {
	Base     int64  `long:"base-version" default:"-1" description:"version that the change starts from; -1: the one in force now"`
	ChangeID string `long:"change-id" description:"name of this change, to repeat it safely; default: a new one"`
	Author   string `long:"author" env:"EGRETMUX_AUTHOR" description:"who makes the change; default: the user"`
	NoWait   bool   `long:"no-wait" description:"do not wait until it is in force everywhere"`
}

// isExplicit reports whether the options name a base version or a change id.
// Such a change is sent even if its text is in force already.
func (opts *changeOptions) isExplicit() bool { return opts.Base >= 0 || opts.ChangeID != "" }

type contractApply struct {
	*app
	changeOptions
	Args fileArguments `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *contractApply) Execute([]string) error {
	files, err := readContracts(c.Args.Files)
	if err != nil {
		return err
	}
	if len(files) > 1 && c.isExplicit() {
		return &exitError{ExitUsage, "--base-version and --change-id take one file"}
	}
	var applied []*egretmuxv1.ContractVersion
	for _, f := range files {
		v, err := c.applyFile(f)
		if err != nil {
			return err
		}
		applied = append(applied, v)
	}
	if err := c.warnOversubscription(); err != nil {
		return err
	}
	return c.awaitAndPrint(applied, !c.NoWait)
}

// applyFile applies a file unless its text is in force already.
func (c *contractApply) applyFile(f contractFile) (*egretmuxv1.ContractVersion, error) {
	current, err := c.contractInForce(f.contract.Customer)
	if err != nil {
		return nil, err
	}
	if !c.isExplicit() && !current.GetDeleted() && current.GetText() == f.text {
		_, _ = fmt.Fprintf(c.errOut, "unchanged: contract %s version %d\n", current.GetCustomer(), current.GetVersion())
		return current, nil
	}
	return c.sendChange(&egretmuxv1.ApplyContractRequest{Customer: f.contract.Customer, Text: f.text}, &c.changeOptions, current)
}

// sendChange sends a change. Its base version is the one in force, unless the
// options name another.
func (a *app) sendChange(req *egretmuxv1.ApplyContractRequest, opts *changeOptions, current *egretmuxv1.ContractVersion) (*egretmuxv1.ContractVersion, error) {
	req.ChangeId, req.Author, req.BaseVersion = opts.ChangeID, opts.Author, current.GetVersion()
	if req.GetChangeId() == "" {
		req.ChangeId = xid.New().String()
	}
	if req.GetAuthor() == "" {
		req.Author = defaultAuthor()
	}
	if opts.Base >= 0 {
		req.BaseVersion = uint64(opts.Base)
	}
	resp, err := call(a, func(ctx context.Context, _ egretmuxv1connect.TaskServiceClient, o egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.ApplyContractResponse], error) {
		return o.ApplyContract(ctx, connect.NewRequest(req))
	})
	var r *refusal.Error
	if errors.As(err, &r) && r.Kind == refusal.VersionConflict {
		a.showConflict(req)
	}
	if err != nil {
		return nil, err
	}
	v := resp.GetContract()
	_, _ = fmt.Fprintf(a.errOut, "accepted: contract %s version %d (cell version %d, change %s)\n", v.GetCustomer(), v.GetVersion(), v.GetCellVersion(), v.GetChangeId())
	return v, nil
}

// showConflict prints who applied the version in force and how the refused text
// differs from it.
func (a *app) showConflict(req *egretmuxv1.ApplyContractRequest) {
	current, err := a.contractInForce(req.GetCustomer())
	if err != nil || current == nil {
		return
	}
	_, _ = fmt.Fprintf(a.errOut, "conflict: contract %s is at version %d, applied by %s at %s (change %s); this change started from version %d\n",
		current.GetCustomer(), current.GetVersion(), orDash(current.GetAuthor()), formatTime(current.GetAppliedUnixMs()), current.GetChangeId(), req.GetBaseVersion())
	text, err := diffText(current, req.GetText(), "this change")
	switch {
	case err != nil:
	case text == "":
		_, _ = fmt.Fprintln(a.errOut, "its text is the same as this change's")
	default:
		_, _ = fmt.Fprint(a.errOut, text)
	}
}

// warnOversubscription prints a warning if the customers' shares add up to more
// than the whole cell.
func (a *app) warnOversubscription() error {
	resp, err := call(a, func(ctx context.Context, _ egretmuxv1connect.TaskServiceClient, o egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.ListContractsResponse], error) {
		return o.ListContracts(ctx, connect.NewRequest(&egretmuxv1.ListContractsRequest{}))
	})
	if err != nil {
		return err
	}
	sum := 0.0
	for _, v := range resp.GetContracts() {
		if c, err := contract.Parse(v.GetCustomer(), v.GetText()); err == nil && !v.GetDeleted() {
			sum += c.Share
		}
	}
	const rounding = 1e-9
	if sum > 1+rounding {
		_, _ = fmt.Fprintf(a.errOut, "warning: the shares of all contracts add up to %.3f; each is worth its part of that sum\n", sum)
	}
	return nil
}

// awaitAndPrint waits until the changes are in force and prints them.
func (a *app) awaitAndPrint(applied []*egretmuxv1.ContractVersion, wait bool) error {
	var newest uint64
	for _, v := range applied {
		newest = max(newest, v.GetCellVersion())
	}
	if wait {
		if err := a.awaitInForce(newest); err != nil {
			return err
		}
	}
	if a.globals.Output == "json" {
		return a.print(&egretmuxv1.ListContractsResponse{Contracts: applied}, "", nil)
	}
	return a.print(nil, "CUSTOMER VERSION CELL_VERSION CHANGE", func(add func(...any)) {
		for _, v := range applied {
			add(v.GetCustomer(), v.GetVersion(), v.GetCellVersion(), v.GetChangeId())
		}
	})
}

// awaitInForce waits until a contract version is in force on all instances, and
// prints those that are behind whenever they change.
func (a *app) awaitInForce(version uint64) error {
	const poll = 50 * time.Millisecond
	deadline := time.Now().Add(a.globals.Timeout)
	lastBehind := ""
	for {
		resp, err := call(a, func(ctx context.Context, _ egretmuxv1connect.TaskServiceClient, o egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.ForceStatusResponse], error) {
			return o.ForceStatus(ctx, connect.NewRequest(&egretmuxv1.ForceStatusRequest{CellVersion: version}))
		})
		if err != nil {
			return err
		}
		if resp.GetEverywhere() {
			_, _ = fmt.Fprintf(a.errOut, "in force on all %d instances\n", resp.GetInstances())
			return nil
		}
		names := make([]string, 0, len(resp.GetBehind()))
		for _, b := range resp.GetBehind() {
			names = append(names, fmt.Sprintf("%s (version %d)", b.GetInstance().GetId(), b.GetContractVersion()))
		}
		if behind := strings.Join(names, ", "); behind != lastBehind {
			lastBehind = behind
			_, _ = fmt.Fprintf(a.errOut, "behind: %s\n", behind)
		}
		if time.Now().After(deadline) {
			return &exitError{ExitBehind, "accepted, but not in force everywhere yet; behind: " + lastBehind}
		}
		time.Sleep(poll)
	}
}

type contractDelete struct {
	*app
	changeOptions
	Args customerArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *contractDelete) Execute([]string) error {
	current, err := c.contractInForce(c.Args.Customer)
	if err != nil {
		return err
	}
	if !c.isExplicit() && (current == nil || current.GetDeleted()) {
		return refusal.New(refusal.NotFound, "list contracts with 'egretmux contract list'", "no contract %s is in force", c.Args.Customer)
	}
	v, err := c.sendChange(&egretmuxv1.ApplyContractRequest{Customer: c.Args.Customer, Delete: true}, &c.changeOptions, current)
	if err != nil {
		return err
	}
	return c.awaitAndPrint([]*egretmuxv1.ContractVersion{v}, !c.NoWait)
}

type contractDiff struct {
	*app
	Args fileArguments `positional-args:"yes"`
}

// Execute implements flags.Commander. It ends with ExitDiffers if a file
// differs from the version in force.
func (c *contractDiff) Execute([]string) error {
	files, err := readContracts(c.Args.Files)
	if err != nil {
		return err
	}
	differing := 0
	for _, f := range files {
		current, err := c.contractInForce(f.contract.Customer)
		if err != nil {
			return err
		}
		text, err := diffText(current, f.text, f.name)
		if err != nil {
			return err
		}
		if text != "" {
			differing++
		}
		_, _ = fmt.Fprint(c.out, text)
	}
	if differing > 0 {
		return &exitError{ExitDiffers, fmt.Sprintf("%d of %d files differ from what is in force", differing, len(files))}
	}
	return nil
}

// diffText returns the unified difference from the version in force to a text.
func diffText(current *egretmuxv1.ContractVersion, text, name string) (string, error) {
	return difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: splitLines(current.GetText()), B: splitLines(text),
		FromFile: fmt.Sprintf("version %d in force", current.GetVersion()), ToFile: name, Context: 3,
	})
}

// splitLines is difflib.SplitLines, except that an empty text has no lines.
func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return difflib.SplitLines(text)
}
