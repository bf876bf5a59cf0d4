package cli

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/refusal"
)

type customerArgument struct {
	Customer string `positional-arg-name:"CUSTOMER" required:"yes"`
}

// contractInForce returns the contract in force, or nil when there is none.
func (a *app) contractInForce(customer string) (*egretmuxv1.ContractVersion, error) {
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
	return c.print(resp, versionHeader, versionRows(resp.GetContracts()))
}

const versionHeader = "CUSTOMER VERSION CELL_VERSION APPLIED AUTHOR CHANGE DELETED"

func versionRows(list []*egretmuxv1.ContractVersion) func(func(...any)) {
	return func(add func(...any)) {
		for _, v := range list {
			add(v.GetCustomer(), v.GetVersion(), v.GetCellVersion(), formatTime(v.GetAppliedUnixMs()), orDash(v.GetAuthor()), v.GetChangeId(), v.GetDeleted())
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
	return c.print(resp, versionHeader, versionRows(resp.GetVersions()))
}
