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
	commandTimeout      = 2 * time.Second
	maxCommandedWorkers = 2048 // workers with commands in flight
	maxWorkerBacklog    = 1024 // commands queued for one worker
)

// Commander forwards the leader's commands to workers, in order for each worker.
// Workers are independent, so that one that hangs delays no other. The leader
// repeats lost commands, and workers execute each command once.
type Commander struct {
	send   func(address string, commands []*egretmuxv1.WorkerCommand)
	logger zerolog.Logger

	mu      sync.Mutex
	backlog map[string][]*egretmuxv1.WorkerCommand // by address; an entry exists while a goroutine sends to that address
}

// NewCommander returns a Commander that calls workers with the given HTTP client and
// scheme, http or https.
func NewCommander(client *http.Client, scheme string, logger zerolog.Logger) *Commander {
	c := &Commander{logger: logger, backlog: make(map[string][]*egretmuxv1.WorkerCommand)}
	c.send = func(address string, commands []*egretmuxv1.WorkerCommand) {
		c.sendCommands(egretmuxv1connect.NewWorkerServiceClient(client, scheme+"://"+address), commands)
	}
	return c
}

// Enqueue queues commands without waiting for workers, and drops those beyond the
// limits.
func (c *Commander) Enqueue(commands []*egretmuxv1.WorkerCommand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cmd := range commands {
		address := cmd.GetAddress()
		queued, sending := c.backlog[address]
		if len(queued) >= maxWorkerBacklog || !sending && len(c.backlog) >= maxCommandedWorkers {
			telemetry.Count("relay_commands_dropped_total")
			continue
		}
		c.backlog[address] = append(queued, cmd)
		if !sending {
			go c.drain(address)
		}
	}
}

// drain sends a worker's queued commands until the queue is empty.
func (c *Commander) drain(address string) {
	for {
		c.mu.Lock()
		commands := c.backlog[address]
		if len(commands) == 0 {
			delete(c.backlog, address)
			c.mu.Unlock()
			return
		}
		c.backlog[address] = nil
		c.mu.Unlock()
		c.send(address, commands)
	}
}

func (c *Commander) sendCommands(client egretmuxv1connect.WorkerServiceClient, commands []*egretmuxv1.WorkerCommand) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	telemetry.CountMessage("commands")
	_, err := client.RunCommands(ctx, connect.NewRequest(&egretmuxv1.RunCommandsRequest{Commands: commands}))
	if err != nil {
		telemetry.Count("relay_commands_failed_total")
		c.logger.Warn().Err(err).Str("event", "command_not_delivered").Str("worker", commands[0].GetWorker()).Msg("")
	}
}
