package peer

import (
	"context"
	"sync"
	"time"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/telemetry"
)

const (
	batchSendTimeout  = 2 * time.Second // limit for one batch
	streamRetryPause  = 50 * time.Millisecond
	senderInterval    = 16       // number of batches of which the first names the sender
	maxBatchBytes     = 1 << 20  // entry and chunk data in one batch
	maxQueuedMessages = 4096     // messages waiting for one replica
	maxQueuedBytes    = 32 << 20 // entry and chunk data waiting for one replica
)

// Transport sends the messages of the replicated log. It implements
// consensus.Transport: it never blocks, keeps the order of messages to one
// replica, and drops messages when a queue is full.
type Transport struct {
	dialer *Dialer
	self   *egretmuxv1.Replica

	mu        sync.Mutex
	addresses map[uint64]string // by replica ID; learned from received messages
	queues    map[string]*sendQueue
	ctx       context.Context // ends with Close
	cancel    context.CancelFunc
	senders   sync.WaitGroup
}

// NewTransport returns a transport for the messages of replica self. It shares no
// connections with the dialer.
func NewTransport(d *Dialer, self *egretmuxv1.Replica) *Transport {
	t := &Transport{
		dialer: d.withOwnConnections(), self: self,
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
	if queue := t.queueFor(to); queue != nil {
		queue.add(messages)
	}
}

func (t *Transport) queueFor(to *egretmuxv1.Replica) *sendQueue {
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
		clients := t.dialer.Clients(address)
		t.senders.Go(func() { t.sendLoop(clients, queue) })
	}
	return queue
}

// sendLoop sends batches to one replica until Close, and reopens the stream when
// it fails.
func (t *Transport) sendLoop(clients *Clients, queue *sendQueue) {
	for t.ctx.Err() == nil {
		t.sendStream(clients, queue)
		telemetry.CountRetry("replica_stream")
		select {
		case <-t.ctx.Done():
		case <-time.After(streamRetryPause):
		}
		queue.clear() // queued messages are out of date; the consensus core sends them again
	}
}

// sendStream sends batches over one stream until a send fails or exceeds
// batchSendTimeout.
func (t *Transport) sendStream(clients *Clients, queue *sendQueue) {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	stream := clients.Consensus.StepStream(ctx)
	stream.RequestHeader().Set(cellKeyHeader, t.dialer.Key())
	for sent := 0; ; sent++ {
		batch := &egretmuxv1.StepRequest{Messages: queue.waitBatch(ctx)}
		if batch.Messages == nil {
			return
		}
		if sent%senderInterval == 0 {
			batch.Sender = t.self
		}
		timeout := time.AfterFunc(batchSendTimeout, cancel)
		telemetry.CountMessage("log_sent")
		err := stream.Send(batch)
		timeout.Stop()
		if err != nil {
			return
		}
	}
}

// Close stops sending and waits for the send loops to end.
func (t *Transport) Close() {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.senders.Wait()
}

// sendQueue holds the messages that wait to be sent to one replica.
type sendQueue struct {
	mu       sync.Mutex
	messages []*egretmuxv1.Message
	bytes    int
	notEmpty chan struct{}
}

func newSendQueue() *sendQueue { return &sendQueue{notEmpty: make(chan struct{}, 1)} }

func (q *sendQueue) add(messages []*egretmuxv1.Message) {
	q.mu.Lock()
	for _, m := range messages {
		size := messageBytes(m)
		if len(q.messages) >= maxQueuedMessages || q.bytes+size > maxQueuedBytes {
			telemetry.CountRetry("replica_queue_full")
			break
		}
		q.messages = append(q.messages, m)
		q.bytes += size
	}
	q.mu.Unlock()
	select {
	case q.notEmpty <- struct{}{}:
	default:
	}
}

// waitBatch waits for messages and returns at most one batch of them, or nil when
// the context ends.
func (q *sendQueue) waitBatch(ctx context.Context) []*egretmuxv1.Message {
	for {
		if batch := q.nextBatch(); batch != nil {
			return batch
		}
		select {
		case <-ctx.Done():
			return nil
		case <-q.notEmpty:
		}
	}
}

func (q *sendQueue) nextBatch() []*egretmuxv1.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, size := 0, 0
	for n < len(q.messages) && (n == 0 || size < maxBatchBytes) {
		size += messageBytes(q.messages[n])
		n++
	}
	if n == 0 {
		return nil
	}
	batch := q.messages[:n:n]
	q.messages = q.messages[n:]
	q.bytes -= size
	return batch
}

func (q *sendQueue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.messages, q.bytes = nil, 0
}

func messageBytes(m *egretmuxv1.Message) int {
	size := len(m.GetChunk())
	for _, e := range m.GetEntries() {
		size += len(e.GetData())
	}
	return size
}
