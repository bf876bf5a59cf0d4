package cli

import (
	"context"
	"fmt"
	"os"
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

type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

type customerArgument struct {
	Customer string `positional-arg-name:"CUSTOMER" required:"yes"`
}

func readContract(file string) (*contract.Contract, string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, "", &exitError{ExitUsage, err.Error()}
	}
	c, err := contract.Parse(file, string(text))
	if err != nil {
		return nil, "", &exitError{ExitRefused, err.Error()}
	}
	return c, string(text), nil
}

// newest returns the contract in force, or nil when there is none.
func (a *app) newest(customer string) (*egretmuxv1.ContractVersion, error) {
	resp, err := call(a, func(ctx context.Context, _ egretmuxv1connect.TaskServiceClient, o egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.GetContractResponse], error) {
		return o.GetContract(ctx, connect.NewRequest(&egretmuxv1.GetContractRequest{Customer: customer}))
	})
	var r *refusal.Error
	if errors.As(err, &r) && r.Kind == refusal.NotFound {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return resp.GetContract(), nil
}

type contractApply struct {
	*app
	Base     int64        `long:"base-version" default:"-1" description:"version that the change starts from; -1: the one in force now"`
	ChangeID string       `long:"change-id" description:"name of this change, to repeat it safely; default: a new one"`
	Author   string       `long:"author" env:"EGRETMUX_AUTHOR" description:"who makes the change; default: the user"`
	NoWait   bool         `long:"no-wait" description:"do not wait until it is in force everywhere"`
	Args     fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *contractApply) Execute([]string) error {
	parsed, text, err := readContract(c.Args.File)
	if err != nil {
		return err
	}
	return c.change(&egretmuxv1.ApplyContractRequest{Customer: parsed.Customer, Text: text, ChangeId: c.ChangeID, Author: c.Author}, c.Base, !c.NoWait)
}

// change sends a change and waits until it is in force.
func (a *app) change(req *egretmuxv1.ApplyContractRequest, base int64, wait bool) error {
	if req.GetChangeId() == "" {
		req.ChangeId = xid.New().String()
	}
	if req.GetAuthor() == "" {
		req.Author = author()
	}
	req.BaseVersion = uint64(max(0, base))
	if base < 0 {
		current, err := a.newest(req.GetCustomer())
		if err != nil {
			return err
		}
		req.BaseVersion = current.GetVersion()
	}
	resp, err := call(a, func(ctx context.Context, _ egretmuxv1connect.TaskServiceClient, o egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.ApplyContractResponse], error) {
		return o.ApplyContract(ctx, connect.NewRequest(req))
	})
	if err != nil {
		return err
	}
	v := resp.GetContract()
	_, _ = fmt.Fprintf(a.errOut, "accepted: contract %s version %d (cell version %d, change %s)\n", v.GetCustomer(), v.GetVersion(), v.GetCellVersion(), v.GetChangeId())
	if wait {
		if err := a.awaitForce(v.GetCellVersion()); err != nil {
			return err
		}
	}
	return a.print(resp, "CUSTOMER VERSION CELL_VERSION CHANGE", func(add func(...any)) {
		add(v.GetCustomer(), v.GetVersion(), v.GetCellVersion(), v.GetChangeId())
	})
}

// awaitForce reports who is behind until nobody is.
func (a *app) awaitForce(version uint64) error {
	const poll = 50 * time.Millisecond
	end := time.Now().Add(a.globals.Timeout)
	last := ""
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
		if now := strings.Join(names, ", "); now != last {
			last = now
			_, _ = fmt.Fprintf(a.errOut, "behind: %s\n", now)
		}
		if time.Now().After(end) {
			return &exitError{ExitBehind, "accepted, but not in force everywhere yet; behind: " + last}
		}
		time.Sleep(poll)
	}
}

type contractDelete struct {
	*app
	ChangeID string           `long:"change-id" description:"name of this change, to repeat it safely"`
	Base     int64            `long:"base-version" default:"-1" description:"version that the change starts from; -1: the one in force now"`
	Args     customerArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *contractDelete) Execute([]string) error {
	return c.change(&egretmuxv1.ApplyContractRequest{Customer: c.Args.Customer, ChangeId: c.ChangeID, Delete: true}, c.Base, true)
}

type contractDiff struct {
	*app
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *contractDiff) Execute([]string) error {
	parsed, text, err := readContract(c.Args.File)
	if err != nil {
		return err
	}
	current, err := c.newest(parsed.Customer)
	if err != nil {
		return err
	}
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(current.GetText()), B: difflib.SplitLines(text),
		FromFile: fmt.Sprintf("%s version %d", parsed.Customer, current.GetVersion()), ToFile: c.Args.File, Context: 3,
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(c.out, diff)
	return err
}

type contractGet struct {
	*app
	Version uint64           `long:"version" description:"version to print; 0: the one in force"`
	Args    customerArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *contractGet) Execute([]string) error {
	resp, err := call(c.app, func(ctx context.Context, _ egretmuxv1connect.TaskServiceClient, o egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.GetContractResponse], error) {
		return o.GetContract(ctx, connect.NewRequest(&egretmuxv1.GetContractRequest{Customer: c.Args.Customer, Version: c.Version}))
	})
	if err != nil {
		return err
	}
	if c.globals.Output == "json" {
		return c.print(resp, "", nil)
	}
	_, err = fmt.Fprint(c.out, resp.GetContract().GetText())
	return err
}

type contractList struct{ *app }

// Execute implements flags.Commander.
func (c *contractList) Execute([]string) error {
	resp, err := call(c.app, func(ctx context.Context, _ egretmuxv1connect.TaskServiceClient, o egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.ListContractsResponse], error) {
		return o.ListContracts(ctx, connect.NewRequest(&egretmuxv1.ListContractsRequest{}))
	})
	if err != nil {
		return err
	}
	return c.print(resp, versionHead, versionRows(resp.GetContracts()))
}

const versionHead = "CUSTOMER VERSION CELL_VERSION APPLIED AUTHOR CHANGE DELETED"

func versionRows(list []*egretmuxv1.ContractVersion) func(func(...any)) {
	return func(add func(...any)) {
		for _, v := range list {
			add(v.GetCustomer(), v.GetVersion(), v.GetCellVersion(), timeName(v.GetAppliedUnixMs()), orDash(v.GetAuthor()), v.GetChangeId(), v.GetDeleted())
		}
	}
}

type contractHistory struct {
	*app
	Args customerArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *contractHistory) Execute([]string) error {
	resp, err := call(c.app, func(ctx context.Context, _ egretmuxv1connect.TaskServiceClient, o egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.ContractHistoryResponse], error) {
		return o.ContractHistory(ctx, connect.NewRequest(&egretmuxv1.ContractHistoryRequest{Customer: c.Args.Customer}))
	})
	if err != nil {
		return err
	}
	return c.print(resp, versionHead, versionRows(resp.GetVersions()))
}

type contractCheck struct {
	*app
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *contractCheck) Execute([]string) error {
	if _, _, err := readContract(c.Args.File); err != nil {
		return err
	}
	_, err := fmt.Fprintln(c.out, c.Args.File+": ok")
	return err
}
