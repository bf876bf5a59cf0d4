package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/capacity"
	"github.com/egretmux/egretmux/internal/standin"
)

// fleetCommand runs many workers and endpoints in one process.
type fleetCommand struct {
	common
	Name         string `long:"name" required:"yes"`
	Address      string `long:"address" required:"yes"`
	Workers      int    `long:"workers"`
	Endpoints    int    `long:"endpoints"`
	Datacentres  string `long:"datacentres" default:"se-atl,se-bhm,se-jax,se-clt"`
	CPUMillis    int64  `long:"cpu-millis" default:"64000"`
	MemoryMiB    int64  `long:"memory-mib" default:"262144"`
	Accelerators int64  `long:"accelerators"`
}

// Execute implements flags.Commander.
func (c *fleetCommand) Execute([]string) error {
	const rackSize = 8
	return standin.NewFleet(standin.FleetConfig{
		Name: c.Name, Address: c.Address, Workers: c.Workers, Endpoints: c.Endpoints,
		Datacentres: strings.Split(c.Datacentres, ","), RackSize: rackSize,
		Capacity: &egretmuxv1.Resources{CpuMillis: c.CPUMillis, MemoryMib: c.MemoryMiB}, Accelerators: c.Accelerators,
		Instances: c.instances(), Token: c.Token,
	}).Run(signalContext())
}

// sampleCommand measures the resource use of every instance and fleet over a
// window and appends it to a file.
type sampleCommand struct {
	common
	Series string        `long:"series" required:"yes"`
	Size   float64       `long:"size" required:"yes"`
	Fleets string        `long:"fleets" description:"addresses of fleets, separated by commas"`
	Window time.Duration `long:"window" default:"5s"`
	Out    string        `long:"out" required:"yes"`
}

// Execute implements flags.Commander.
func (c *sampleCommand) Execute([]string) error {
	ctx := signalContext()
	targets, err := c.targets(ctx)
	if err != nil {
		return err
	}
	rows, err := capacity.Sample(ctx, c.Series, c.Size, targets, c.Window)
	if err != nil {
		return err
	}
	return capacity.Append(c.Out, rows)
}

// targets asks the cell for the role of each instance.
func (c *sampleCommand) targets(ctx context.Context) ([]capacity.Target, error) {
	client := egretmuxv1connect.NewOperatorServiceClient(&http.Client{}, "http://"+c.instances()[0])
	req := connect.NewRequest(&egretmuxv1.ListInstancesRequest{})
	req.Header().Set("Authorization", "Bearer "+c.Token)
	resp, err := client.ListInstances(ctx, req)
	if err != nil {
		return nil, err
	}
	var targets []capacity.Target
	for _, instance := range resp.Msg.GetInstances() {
		targets = append(targets, capacity.Target{Name: instance.GetInstance().GetId(), Role: instance.GetRole(), Address: instance.GetInstance().GetControlAddress(), Token: c.Token})
	}
	for _, fleet := range strings.Split(c.Fleets, ",") {
		if fleet != "" {
			targets = append(targets, capacity.Target{Name: fleet, Role: "fleet", Address: fleet})
		}
	}
	return targets, nil
}

// fitCommand fits lines to the samples, and prints and plots them.
type fitCommand struct {
	In   string `long:"in" required:"yes"`
	Plot string `long:"plot" description:"prefix of the file names of the plots"`
}

// Execute implements flags.Commander.
func (c *fitCommand) Execute([]string) error {
	rows, err := capacity.Load(c.In)
	if err != nil {
		return err
	}
	if err := capacity.Print(os.Stdout, capacity.Fit(rows)); err != nil || c.Plot == "" {
		return err
	}
	for _, role := range []string{"leader", "entry"} {
		if err := capacity.Plot(rows, role, capacity.CPU, c.Plot+"-"+role+"-cpu.svg"); err != nil {
			return err
		}
	}
	return nil
}

// startsCommand submits short tasks so that members start at a steady rate.
type startsCommand struct {
	common
	Customer string        `long:"customer" required:"yes"`
	Rate     float64       `long:"rate" description:"member starts a second" required:"yes"`
	Members  int32         `long:"members" default:"10"`
	Run      time.Duration `long:"run" default:"200ms"`
	Length   time.Duration `long:"length" default:"5s"`
	CPU      int64         `long:"cpu-millis" default:"1000"`
}

// Execute implements flags.Commander.
func (c *startsCommand) Execute([]string) error {
	ctx := signalContext()
	var clients []egretmuxv1connect.TaskServiceClient
	for _, address := range c.instances() {
		clients = append(clients, egretmuxv1connect.NewTaskServiceClient(http.DefaultClient, "http://"+address))
	}
	total := int(c.Rate * c.Length.Seconds() / float64(c.Members))
	submitPeriod := time.Duration(float64(time.Second) * float64(c.Members) / c.Rate)
	start := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for n := range total {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(start.Add(time.Duration(n) * submitPeriod))):
		}
		wg.Go(func() {
			req := connect.NewRequest(&egretmuxv1.SubmitTaskRequest{ChangeId: c.Customer + strconv.FormatInt(start.UnixNano(), 36) + "-" + strconv.Itoa(n), Spec: &egretmuxv1.TaskSpec{
				Customer: c.Customer, Name: "starts", Kind: egretmuxv1.TaskKind_TASK_KIND_BATCH, Members: c.Members, Idempotent: true,
				Resources: &egretmuxv1.Resources{CpuMillis: c.CPU, MemoryMib: 512}, DeclaredRunMs: c.Run.Milliseconds(), Command: "run " + c.Run.String(),
			}})
			req.Header().Set("Authorization", "Bearer "+c.Token)
			if _, err := clients[n%len(clients)].SubmitTask(ctx, req); err != nil {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Printf("submitted %d tasks of %d members, %d refused\n", total, c.Members, failed)
	return nil
}
