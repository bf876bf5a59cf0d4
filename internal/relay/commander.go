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
)

const (
	commandTimeout  = 2 * time.Second
	parallelWorkers = 64 // workers commanded at a time
)

// Commander passes the leader's commands on to workers. A command that gets
// lost is repeated by the leader; workers carry out each one once.
type Commander struct {
	client *http.Client
	scheme string
	logger zerolog.Logger
	slots  chan struct{}

	mu      sync.Mutex
	clients map[string]egretmuxv1connect.WorkerServiceClient
}

// NewCommander returns a commander that uses the HTTP client for addresses of
// the given scheme, http or https.
func NewCommander(client *http.Client, scheme string, logger zerolog.Logger) *Commander {
	return &Commander{
		client: client, scheme: scheme, logger: logger, slots: make(chan struct{}, parallelWorkers),
		clients: make(map[string]egretmuxv1connect.WorkerServiceClient),
	}
}

func (c *Commander) workerClient(address string) egretmuxv1connect.WorkerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.clients[address]
	if w == nil {
		w = egretmuxv1connect.NewWorkerServiceClient(c.client, c.scheme+"://"+address)
		c.clients[address] = w
	}
	return w
}

// Run sends the commands, grouped by worker, without waiting for them.
func (c *Commander) Run(commands []*egretmuxv1.WorkerCommand) {
	groups := make(map[string][]*egretmuxv1.WorkerCommand)
	for _, cmd := range commands {
		groups[cmd.GetAddress()] = append(groups[cmd.GetAddress()], cmd)
	}
	for address, group := range groups {
		c.slots <- struct{}{}
		go func() {
			defer func() { <-c.slots }()
			c.send(address, group)
		}()
	}
}

func (c *Commander) send(address string, group []*egretmuxv1.WorkerCommand) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	_, err := c.workerClient(address).RunCommands(ctx, connect.NewRequest(&egretmuxv1.RunCommandsRequest{Commands: group}))
	if err != nil {
		c.logger.Warn().Err(err).Str("event", "command_not_delivered").Str("worker", group[0].GetWorker()).Msg("")
	}
}
