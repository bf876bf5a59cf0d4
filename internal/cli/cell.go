package cli

import (
	"context"
	"fmt"
	"strings"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/consensus/wal"
	"github.com/egretmux/egretmux/internal/refusal"
)

type workerList struct{ *app }

// Execute implements flags.Commander.
func (c *workerList) Execute([]string) error {
	resp, err := call(c.app, func(ctx context.Context, _ egretmuxv1connect.TaskServiceClient, o egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.ListWorkersResponse], error) {
		return o.ListWorkers(ctx, connect.NewRequest(&egretmuxv1.ListWorkersRequest{}))
	})
	if err != nil {
		return err
	}
	return c.print(resp, "WORKER DATACENTRE RACK PHASE CAPACITY COMMITTED USED ATTEMPTS SILENT_MS REASON", func(add func(...any)) {
		for _, s := range resp.GetWorkers() {
			w := s.GetWorker()
			add(w.GetId(), w.GetDatacentre(), w.GetRack(), workerPhaseName(w.GetPhase()), formatResources(w.GetCapacity()), formatResources(s.GetCommitted()),
				formatResources(s.GetUsed()), s.GetAttempts(), s.GetSilentMs(), orDash(w.GetReason()))
		}
	})
}

type workerDrain struct {
	*app
	undrain bool
	Reason  string `long:"reason" default:"by operator" description:"why"`
	Args    struct {
		Worker string `positional-arg-name:"WORKER" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *workerDrain) Execute([]string) error {
	_, err := call(c.app, func(ctx context.Context, _ egretmuxv1connect.TaskServiceClient, o egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.DrainWorkerResponse], error) {
		return o.DrainWorker(ctx, connect.NewRequest(&egretmuxv1.DrainWorkerRequest{Worker: c.Args.Worker, Undrain: c.undrain, Reason: c.Reason}))
	})
	return err
}

type serviceList struct{ *app }

// Execute implements flags.Commander.
func (c *serviceList) Execute([]string) error {
	resp, err := call(c.app, func(ctx context.Context, _ egretmuxv1connect.TaskServiceClient, o egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.ListServicesResponse], error) {
		return o.ListServices(ctx, connect.NewRequest(&egretmuxv1.ListServicesRequest{}))
	})
	if err != nil {
		return err
	}
	return c.print(resp, "SERVICE ENDPOINTS SLOTS GRANTED", func(add func(...any)) {
		for _, s := range resp.GetServices() {
			add(s.GetService(), s.GetEndpoints(), s.GetSlots(), s.GetGranted())
		}
	})
}

type endpointList struct {
	*app
	Service string `long:"service" description:"only this service's"`
}

// Execute implements flags.Commander.
func (c *endpointList) Execute([]string) error {
	resp, err := call(c.app, func(ctx context.Context, _ egretmuxv1connect.TaskServiceClient, o egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.ListEndpointsResponse], error) {
		return o.ListEndpoints(ctx, connect.NewRequest(&egretmuxv1.ListEndpointsRequest{Service: c.Service}))
	})
	if err != nil {
		return err
	}
	return c.print(resp, "ENDPOINT SERVICE ADDRESS DATACENTRE SLOTS GRANTED HEALTH SILENT_MS", func(add func(...any)) {
		for _, e := range resp.GetEndpoints() {
			add(e.GetId(), e.GetService(), e.GetAddress(), e.GetDatacentre(), e.GetSlots(), e.GetGranted(), e.GetHealth(), e.GetSilentMs())
		}
	})
}

type instanceList struct{ *app }

const instanceHeader = "INSTANCE DATACENTRE ROLE CONTRACTS LEASE SILENT_MS CONTROL"

func instanceRows(list []*egretmuxv1.InstanceStatus) func(func(...any)) {
	return func(add func(...any)) {
		for _, s := range list {
			lease := "ended"
			if s.GetLeaseValid() {
				lease = "valid"
			}
			add(s.GetInstance().GetId(), s.GetInstance().GetDatacentre(), s.GetRole(), s.GetContractVersion(), lease, s.GetSilentMs(), s.GetInstance().GetControlAddress())
		}
	}
}

// Execute implements flags.Commander.
func (c *instanceList) Execute([]string) error {
	resp, err := call(c.app, func(ctx context.Context, _ egretmuxv1connect.TaskServiceClient, o egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.ListInstancesResponse], error) {
		return o.ListInstances(ctx, connect.NewRequest(&egretmuxv1.ListInstancesRequest{}))
	})
	if err != nil {
		return err
	}
	return c.print(resp, instanceHeader, instanceRows(resp.GetInstances()))
}

type logLevel struct {
	*app
	Instance string `long:"instance" description:"whose level to change; default: the first of --server"`
	Args     struct {
		Level string `positional-arg-name:"LEVEL" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander. It calls one instance only and tries no
// other: each instance sets its own level.
func (c *logLevel) Execute([]string) error {
	address, err := c.targetAddress()
	if err != nil {
		return err
	}
	singleInstance := *c.app
	singleInstance.globals.Server = address
	resp, err := call(&singleInstance, func(ctx context.Context, _ egretmuxv1connect.TaskServiceClient, o egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.SetLogLevelResponse], error) {
		return o.SetLogLevel(ctx, connect.NewRequest(&egretmuxv1.SetLogLevelRequest{Level: c.Args.Level}))
	})
	if err != nil {
		return err
	}
	return c.print(resp, "INSTANCE PREVIOUS NOW", func(add func(...any)) { add(resp.GetInstance(), resp.GetPrevious(), c.Args.Level) })
}

// targetAddress returns the control address of the instance whose level changes.
func (c *logLevel) targetAddress() (string, error) {
	if c.Instance == "" {
		first, _, _ := strings.Cut(c.globals.Server, ",")
		return first, nil
	}
	resp, err := call(c.app, func(ctx context.Context, _ egretmuxv1connect.TaskServiceClient, o egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.ListInstancesResponse], error) {
		return o.ListInstances(ctx, connect.NewRequest(&egretmuxv1.ListInstancesRequest{}))
	})
	if err != nil {
		return "", err
	}
	for _, in := range resp.GetInstances() {
		if in.GetInstance().GetId() == c.Instance {
			return in.GetInstance().GetControlAddress(), nil
		}
	}
	return "", refusal.New(refusal.NotFound, "list instances with 'egretmux instance list'", "no instance %s", c.Instance)
}

type status struct{ *app }

// Execute implements flags.Commander.
func (c *status) Execute([]string) error {
	resp, err := call(c.app, func(ctx context.Context, _ egretmuxv1connect.TaskServiceClient, o egretmuxv1connect.OperatorServiceClient) (*connect.Response[egretmuxv1.StatusResponse], error) {
		return o.Status(ctx, connect.NewRequest(&egretmuxv1.StatusRequest{}))
	})
	if err != nil {
		return err
	}
	if c.globals.Output == "json" {
		return c.print(resp, "", nil)
	}
	_, _ = fmt.Fprintf(c.out, "leader %s, term %d, applied %d, contracts at cell version %d\n", resp.GetLeader(), resp.GetTerm(), resp.GetAppliedIndex(), resp.GetContractVersion())
	_, _ = fmt.Fprintf(c.out, "workers %d ready, %d other; members %d running, %d waiting; endpoints %d\n\n",
		resp.GetWorkersReady(), resp.GetWorkersOther(), resp.GetTasksRunning(), resp.GetTasksQueued(), resp.GetEndpoints())
	if err := c.print(resp, instanceHeader, instanceRows(resp.GetInstances())); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(c.out)
	return c.print(resp, "CUSTOMER VERSION WAITING RUNNING SHARE HELD HELD_1H LATE LATE_MS TREND_MS/MIN MET MISSED REASON", func(add func(...any)) {
		for _, s := range resp.GetCustomers() {
			add(s.GetCustomer(), s.GetContractVersion(), s.GetQueued(), s.GetRunning(), fmt.Sprintf("%.3f", s.GetShare()), fmt.Sprintf("%.3f", s.GetDominantShare()), fmt.Sprintf("%.3f", s.GetUsedShare()),
				s.GetPredictedLate(), s.GetPredictedLateMs(), fmt.Sprintf("%.0f", s.GetLateTrendMsPerMin()), s.GetDeadlinesMet(), s.GetDeadlinesMissed(), orDash(s.GetLateReason()))
		}
	})
}

type snapshotInspect struct {
	*app
	Args struct {
		Folder string `positional-arg-name:"DATA_FOLDER" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander. It only reads the folder, so that it can
// run beside an instance that uses it.
func (c *snapshotInspect) Execute([]string) error {
	meta, payload, err := wal.NewestSnapshot(c.Args.Folder)
	if err != nil {
		return err
	}
	state := &egretmuxv1.StateSnapshot{}
	if err := proto.Unmarshal(payload, state); err != nil {
		return err
	}
	if c.globals.Output == "json" {
		return c.print(state, "", nil)
	}
	return c.print(meta, "INDEX TERM BYTES CONTRACTS TASKS WORKERS INSTANCES REQUESTS", func(add func(...any)) {
		add(meta.GetIndex(), meta.GetTerm(), len(payload), len(state.GetContracts()), len(state.GetTasks()), len(state.GetWorkers()),
			len(state.GetInstances()), len(state.GetRequests()))
	})
}
