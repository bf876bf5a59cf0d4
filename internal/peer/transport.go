package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

const (
	stepTimeout   = time.Second
	maxStepBytes  = 2 << 20 // entry and chunk data in one call
	sendQueue     = 4096    // messages waiting for one replica
	parallelSteps = 4       // calls to one replica at a time
)

// Transport carries the messages of the replicated log. It implements
// consensus.Transport: it never blocks and drops what a full queue cannot take.
type Transport struct {
	dialer *Dialer
	self   *egretmuxv1.Replica

	mu        sync.Mutex
	addresses map[uint64]string // learned from messages received
	queues    map[string]chan *egretmuxv1.Message
	stop      chan struct{}
	done      sync.WaitGroup
}

// NewTransport returns a transport that sends as the given replica.
func NewTransport(d *Dialer, self *egretmuxv1.Replica) *Transport {
	return &Transport{
		dialer: d, self: self, stop: make(chan struct{}),
		addresses: make(map[uint64]string), queues: make(map[string]chan *egretmuxv1.Message),
	}
}

// Learn remembers the address of a replica that sent a message.
func (t *Transport) Learn(sender *egretmuxv1.Replica) {
	if sender.GetAddress() == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addresses[sender.GetId()] = sender.GetAddress()
}

// Send implements consensus.Transport.
func (t *Transport) Send(to *egretmuxv1.Replica, messages []*egretmuxv1.Message) {
	queue := t.queue(to)
	if queue == nil {
		return
	}
	for _, m := range messages {
		select {
		case queue <- m:
		default:
		}
	}
}

func (t *Transport) queue(to *egretmuxv1.Replica) chan *egretmuxv1.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := to.GetAddress()
	if address == "" {
		address = t.addresses[to.GetId()]
	}
	if address == "" {
		return nil
	}
	queue := t.queues[address]
	if queue == nil {
		queue = make(chan *egretmuxv1.Message, sendQueue)
		t.queues[address] = queue
		clients := t.dialer.Clients(address)
		for range parallelSteps {
			t.done.Add(1)
			go t.run(clients, queue)
		}
	}
	return queue
}

// run sends batches to one replica until Close.
func (t *Transport) run(c *Clients, queue chan *egretmuxv1.Message) {
	defer t.done.Done()
	for {
		select {
		case <-t.stop:
			return
		case m := <-queue:
			t.step(c, collect(m, queue))
		}
	}
}

// collect takes what else waits, up to the size of one call.
func collect(first *egretmuxv1.Message, queue chan *egretmuxv1.Message) []*egretmuxv1.Message {
	batch := []*egretmuxv1.Message{first}
	size := messageBytes(first)
	for size < maxStepBytes {
		select {
		case m := <-queue:
			batch = append(batch, m)
			size += messageBytes(m)
			continue
		default:
		}
		break
	}
	return batch
}

func messageBytes(m *egretmuxv1.Message) int {
	size := len(m.GetChunk())
	for _, e := range m.GetEntries() {
		size += len(e.GetData())
	}
	return size
}

func (t *Transport) step(c *Clients, batch []*egretmuxv1.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	// A lost batch is repeated by the core.
	_, _ = c.Consensus.Step(ctx, connect.NewRequest(&egretmuxv1.StepRequest{Messages: batch, Sender: t.self}))
}

// Close stops sending.
func (t *Transport) Close() {
	close(t.stop)
	t.done.Wait()
}
