package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/telemetry"
)

const (
	commandTimeout   = 2 * time.Second
	maxCommanded     = 2048 // workers commanded at a time
	maxWorkerBacklog = 1024 // commands that wait for one worker
)

// Commander passes the leader's commands on to workers, in order for each
// worker and independently among workers: one that hangs holds up no other. A
// command that gets lost is repeated by the leader; workers carry out each one
// once.
type Commander struct {
	send   func(address string, commands []*egretmuxv1.WorkerCommand)
	logger zerolog.Logger

	mu      sync.Mutex
	backlog map[string][]*egretmuxv1.WorkerCommand // by address; present while a goroutine sends there
}

// NewCommander returns a commander that uses the HTTP client for addresses of
// the given scheme, http or https.
func NewCommander(client *http.Client, scheme string, logger zerolog.Logger) *Commander {
	c := &Commander{logger: logger, backlog: make(map[string][]*egretmuxv1.WorkerCommand)}
	c.send = func(address string, commands []*egretmuxv1.WorkerCommand) {
		c.call(egretmuxv1connect.NewWorkerServiceClient(client, scheme+"://"+address), commands)
	}
	return c
}

// Enqueue takes over commands without waiting for workers.
func (c *Commander) Enqueue(commands []*egretmuxv1.WorkerCommand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cmd := range commands {
		address := cmd.GetAddress()
		waiting, sending := c.backlog[address]
		if len(waiting) >= maxWorkerBacklog || !sending && len(c.backlog) >= maxCommanded {
			telemetry.Count("relay_commands_dropped_total")
			continue
		}
		c.backlog[address] = append(waiting, cmd)
		if !sending {
			go c.drain(address)
		}
	}
}

// drain sends what waits for a worker until nothing does.
func (c *Commander) drain(address string) {
	for {
		c.mu.Lock()
		group := c.backlog[address]
		if len(group) == 0 {
			delete(c.backlog, address)
			c.mu.Unlock()
			return
		}
		c.backlog[address] = nil
		c.mu.Unlock()
		c.send(address, group)
	}
}

func (c *Commander) call(client egretmuxv1connect.WorkerServiceClient, group []*egretmuxv1.WorkerCommand) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	telemetry.CountMessage("commands")
	_, err := client.RunCommands(ctx, connect.NewRequest(&egretmuxv1.RunCommandsRequest{Commands: group}))
	if err != nil {
		telemetry.Count("relay_commands_failed_total")
		c.logger.Warn().Err(err).Str("event", "command_not_delivered").Str("worker", group[0].GetWorker()).Msg("")
	}
}
