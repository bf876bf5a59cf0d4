package peer

import (
	"context"
	"sync"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/telemetry"
)

const (
	stepTimeout  = 2 * time.Second // for handing over one batch
	streamPause  = 50 * time.Millisecond
	senderEvery  = 16       // batches of a stream; one in so many names its sender
	maxStepBytes = 1 << 20  // entry and chunk data in one batch
	maxQueued    = 4096     // messages waiting for one replica
	maxQueuedLen = 32 << 20 // entry and chunk data waiting for one replica
)

// Transport carries the messages of the replicated log. It implements
// consensus.Transport: it never blocks, keeps the order of messages to one
// replica, and drops what a full queue cannot take.
type Transport struct {
	dialer *Dialer
	self   *egretmuxv1.Replica

	mu        sync.Mutex
	addresses map[uint64]string // learned from messages received
	queues    map[string]*sendQueue
	ctx       context.Context // ends with Close
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// NewTransport returns a transport that sends as the given replica, over
// connections of its own.
func NewTransport(d *Dialer, self *egretmuxv1.Replica) *Transport {
	t := &Transport{
		dialer: d.separate(), self: self,
		addresses: make(map[uint64]string), queues: make(map[string]*sendQueue),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// LearnAddress remembers the address of a replica that sent a message.
func (t *Transport) LearnAddress(sender *egretmuxv1.Replica) {
	if sender.GetAddress() == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addresses[sender.GetId()] = sender.GetAddress()
}

// Send implements consensus.Transport.
func (t *Transport) Send(to *egretmuxv1.Replica, messages []*egretmuxv1.Message) {
	if queue := t.queue(to); queue != nil {
		queue.put(messages)
	}
}

func (t *Transport) queue(to *egretmuxv1.Replica) *sendQueue {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := to.GetAddress()
	if address == "" {
		address = t.addresses[to.GetId()]
	}
	if address == "" || t.ctx.Err() != nil {
		return nil
	}
	queue := t.queues[address]
	if queue == nil {
		queue = newSendQueue()
		t.queues[address] = queue
		client := t.dialer.Clients(address)
		t.done.Go(func() { t.run(client, queue) })
	}
	return queue
}

// run sends batches to one replica until Close, over one stream at a time.
func (t *Transport) run(c *Clients, queue *sendQueue) {
	for t.ctx.Err() == nil {
		t.stream(c, queue)
		telemetry.CountRetry("replica_stream")
		select {
		case <-t.ctx.Done():
		case <-time.After(streamPause):
		}
		queue.clear() // what waited meanwhile is out of date; the core repeats it
	}
}

// stream sends batches until one cannot be handed over in time.
func (t *Transport) stream(c *Clients, queue *sendQueue) {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	stream := c.Consensus.StepStream(ctx)
	stream.RequestHeader().Set(keyHeader, t.dialer.Key())
	for sent := 0; ; sent++ {
		batch := &egretmuxv1.StepRequest{Messages: queue.take(ctx)}
		if batch.Messages == nil {
			return
		}
		if sent%senderEvery == 0 {
			batch.Sender = t.self
		}
		late := time.AfterFunc(stepTimeout, cancel)
		telemetry.CountMessage("log_sent")
		err := stream.Send(batch)
		late.Stop()
		if err != nil {
			return
		}
	}
}

// Close stops sending.
func (t *Transport) Close() {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.done.Wait()
}

// sendQueue holds the messages for one replica.
type sendQueue struct {
	mu       sync.Mutex
	messages []*egretmuxv1.Message
	size     int
	ready    chan struct{}
}

func newSendQueue() *sendQueue { return &sendQueue{ready: make(chan struct{}, 1)} }

func (q *sendQueue) put(messages []*egretmuxv1.Message) {
	q.mu.Lock()
	for _, m := range messages {
		size := messageBytes(m)
		if len(q.messages) >= maxQueued || q.size+size > maxQueuedLen {
			telemetry.CountRetry("replica_queue_full")
			break
		}
		q.messages = append(q.messages, m)
		q.size += size
	}
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take waits for messages and returns as many as one batch may hold, or nil
// when the context ends.
func (q *sendQueue) take(ctx context.Context) []*egretmuxv1.Message {
	for {
		if batch := q.pop(); batch != nil {
			return batch
		}
		select {
		case <-ctx.Done():
			return nil
		case <-q.ready:
		}
	}
}

func (q *sendQueue) pop() []*egretmuxv1.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, size := 0, 0
	for n < len(q.messages) && (n == 0 || size < maxStepBytes) {
		size += messageBytes(q.messages[n])
		n++
	}
	if n == 0 {
		return nil
	}
	batch := q.messages[:n:n]
	q.messages = q.messages[n:]
	q.size -= size
	return batch
}

func (q *sendQueue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.messages, q.size = nil, 0
}

func messageBytes(m *egretmuxv1.Message) int {
	size := len(m.GetChunk())
	for _, e := range m.GetEntries() {
		size += len(e.GetData())
	}
	return size
}
