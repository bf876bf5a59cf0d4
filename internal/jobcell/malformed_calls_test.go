package jobcell

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime/debug"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
)

// filler fills messages with values that a sound instance does not send.
type filler struct {
	*rand.Rand
	texts []string
}

func pick[T any](f *filler, values ...T) T { return values[f.IntN(len(values))] }

// scalar returns a value of a field's kind, often at an end of its range.
func (f *filler) scalar(field protoreflect.FieldDescriptor) protoreflect.Value {
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(f.IntN(2) == 0)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(pick(f, -1, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 99, math.MaxInt32)))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(pick(f, int32(0), 1, -1, 100, math.MinInt32, math.MaxInt32))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(pick(f, int64(0), 1, -1, 100, 5000, math.MinInt64, math.MaxInt64))
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(pick(f, uint32(0), 1, 2, 100, math.MaxUint32))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(pick(f, uint64(0), 1, 2, 3, 100, 1<<40, math.MaxInt64, math.MaxUint64))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(pick(f, 0, 1, -1, 1e308, math.Inf(1), math.Inf(-1), math.NaN()))
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(pick(f, f.texts...))
	}
	return protoreflect.ValueOfBytes(pick(f, nil, []byte{}, []byte("text"), bytes.Repeat([]byte{0xff}, 32), make([]byte, 1<<16)))
}

// fill sets about three quarters of the fields.
func (f *filler) fill(m protoreflect.Message, depth int) {
	for i := range m.Descriptor().Fields().Len() {
		field := m.Descriptor().Fields().Get(i)
		if f.IntN(4) == 0 || field.IsMap() {
			continue
		}
		isMessage := field.Kind() == protoreflect.MessageKind
		if isMessage && depth == 0 {
			continue
		}
		if field.IsList() {
			list := m.Mutable(field).List()
			for range f.IntN(4) {
				if isMessage {
					f.fill(list.AppendMutable().Message(), depth-1)
				} else {
					list.Append(f.scalar(field))
				}
			}
			continue
		}
		if isMessage {
			f.fill(m.Mutable(field).Message(), depth-1)
		} else {
			m.Set(field, f.scalar(field))
		}
	}
}

// admit gives most messages what the first checks of their handlers ask for, so that the rest of them
// gets further.
func (f *filler) admit(m proto.Message) {
	if f.IntN(4) == 0 {
		return
	}
	switch m := m.(type) {
	case *egretmuxv1.JobCall:
		m.Address = &egretmuxv1.QueueAddress{Host: "h", Path: fmt.Sprintf("/q/%016x", f.IntN(50))}
		m.Verb = pick(f, egretmuxv1.JobVerb_JOB_VERB_SUBMIT, egretmuxv1.JobVerb_JOB_VERB_SUBMIT, m.GetVerb())
		for _, s := range m.GetJob().GetSteps() {
			s.After, s.Count = nil, pick(f, s.GetCount(), 1, 3)
		}
	case *egretmuxv1.PutCatalogueRequest:
		if m.Catalogue != nil {
			m.Catalogue.Pools = append(m.Catalogue.Pools, &egretmuxv1.Pool{Name: "p"})
		}
	case *egretmuxv1.WorkerBeat:
		if m.Life != nil {
			m.Life.Worker, m.Life.Address, m.Life.Pool = pick(f, "w", "v"), unreachable, "p"
		}
	}
}

// mutated returns a message's encoding, as it is or damaged.
func (f *filler) mutated(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil || len(data) == 0 {
		return data
	}
	switch f.IntN(5) {
	case 0:
		return data[:f.IntN(len(data))]
	case 1:
		for range 1 + f.IntN(4) {
			data[f.IntN(len(data))] = byte(f.IntN(256))
		}
	case 2:
		return slices.Concat(data, data)
	}
	return data
}

// panicRecorder reports panics of handlers, which the server would recover from.
type panicRecorder struct {
	http.Handler
	mu     sync.Mutex
	panics []string
}

func (p *panicRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		if cause := recover(); cause != nil {
			p.mu.Lock()
			p.panics = append(p.panics, fmt.Sprintf("%s: %v\n%s", r.URL.Path, cause, debug.Stack()))
			p.mu.Unlock()
		}
	}()
	p.Handler.ServeHTTP(w, r)
}

// recorded returns the panics so far.
func (p *panicRecorder) recorded() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.panics)
}

func serveRecorded(t *testing.T, c *Cell) (*panicRecorder, *httptest.Server, *http.Client) {
	t.Helper()
	recorder := &panicRecorder{Handler: c.Handler()}
	s := httptest.NewUnstartedServer(recorder)
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Config.Protocols.SetHTTP1(true)
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		_ = s.Config.Close()
	})
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	return recorder, s, &http.Client{Transport: transport}
}

// postRaw sends a body to a procedure and returns the status.
func postRaw(t *testing.T, client *http.Client, url, contentType string, body []byte) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond) // a call may wait for a commit
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Content-Type", contentType)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// envelope frames messages for a stream.
func envelope(flags byte, length uint32, message []byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{flags}, length), message...)
}

func unaryCalls() map[string]proto.Message {
	return map[string]proto.Message{
		egretmuxv1connect.JobCellServiceAnnounceMemberProcedure: &egretmuxv1.AnnounceMemberRequest{},
		egretmuxv1connect.JobCellServiceAnnounceLeaderProcedure: &egretmuxv1.AnnounceLeaderRequest{},
		egretmuxv1connect.JobCellServiceFoundCellProcedure:      &egretmuxv1.FoundCellRequest{},
		egretmuxv1connect.JobCellServiceCallJobProcedure:        &egretmuxv1.JobCall{},
		egretmuxv1connect.JobCellServicePutCatalogueProcedure:   &egretmuxv1.PutCatalogueRequest{},
		egretmuxv1connect.JobCellServiceGetCatalogueProcedure:   &egretmuxv1.GetCatalogueRequest{},
		egretmuxv1connect.JobCellServiceBeatWorkerProcedure:     &egretmuxv1.WorkerBeat{},
		egretmuxv1connect.JobCellServiceStartWaveProcedure:      &egretmuxv1.StartWaveRequest{},
		egretmuxv1connect.JobCellServiceShowWaveProcedure:       &egretmuxv1.ShowWaveRequest{},
		egretmuxv1connect.JobCellServiceAdviseProcedure:         &egretmuxv1.AdviseRequest{},
		egretmuxv1connect.JobCellServiceShowCustomersProcedure:  &egretmuxv1.ShowCustomersRequest{},
	}
}

func newFiller(seed uint64) *filler {
	return &filler{Rand: rand.New(rand.NewPCG(seed, 1)), texts: []string{
		"", "w", "h", "/q/", "/q/00000000000000aa", "00000000000000aa", "p", "j.0.0", unreachable, "127.0.0.1:99999", "no address", "\x00", "é", string(make([]byte, 1<<15)),
	}}
}

// newLoneLeader returns a cell of one replica that leads and has a configuration.
func newLoneLeader(t *testing.T) *Cell {
	t.Helper()
	instance := startCell(t, 1, 1)[0]
	require.Eventually(t, instance.cell.scheduler.Leads, formationBound, checkPeriod)
	instance.cell.cfg.Adviser = allowingAdviser{}
	fake := instance.cell.workers.direct.(*fakeWorkers)
	go func() { // so that no call waits
		for {
			select {
			case <-fake.started:
			case <-fake.polled:
			case <-t.Context().Done():
				return
			}
		}
	}()
	_, err := instance.cell.scheduler.PutCatalogue(t.Context(), &egretmuxv1.Catalogue{
		Version: 1, Source: []byte("one"), Pools: []*egretmuxv1.Pool{{Name: "p"}},
		Queues: []*egretmuxv1.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "p", TimeoutMs: 1000, Attempts: 2, SlackFactor: 2}},
	})
	require.NoError(t, err)
	require.NoError(t, instance.cell.scheduler.HandleHeartbeat(t.Context(), &egretmuxv1.WorkerBeat{Life: &egretmuxv1.WorkerLife{
		Worker: "w", BornUnixMs: 1, Address: "w:1", Pool: "p", CpuMillis: 4000, MemoryMib: 1000,
	}}))
	return instance.cell
}

// requireServing requires that a cell answers calls, so that no lock was left behind.
func requireServing(t *testing.T, c *Cell) {
	t.Helper()
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.scheduler.Catalogue(ctx)
		return err == nil
	}, 10*time.Second, checkPeriod, "the leader does not answer any more")
	select {
	case err := <-c.Failed():
		require.NoError(t, err, "the instance ends")
	default:
	}
}

// Guards against a message between instances that takes a process down, or that leaves the leader
// without an answer for others: calls whose values are missing, extreme or damaged.
func TestMalformedCallsBetweenInstancesTakeNoProcessDown(t *testing.T) {
	c := newLoneLeader(t)
	recorder, server, client := serveRecorded(t, c)
	calls := unaryCalls()
	for _, procedure := range slices.Sorted(maps.Keys(calls)) {
		t.Run(procedure, func(t *testing.T) {
			f := newFiller(1)
			for n := range 150 {
				m := calls[procedure].ProtoReflect().New()
				f.fill(m, 4)
				f.admit(m.Interface())
				body := f.mutated(m.Interface())
				if n == 0 {
					body = nil
				}
				postRaw(t, client, server.URL+procedure, "application/proto", body)
				require.Empty(t, recorder.recorded(), "call %d: %x", n, body[:min(len(body), 200)])
			}
			require.NotEqual(t, http.StatusOK, postRaw(t, client, server.URL+procedure, "application/proto", bytes.Repeat([]byte{0x0a, 0x00}, maxMessageBytes/2+1)))
			require.Empty(t, recorder.recorded())
			requireServing(t, c)
		})
	}
}

// Guards against orders to workers that take down the instance which passes them on: its goroutines
// recover from nothing.
func TestMalformedOrdersTakeNoProcessDown(t *testing.T) {
	c := newLoneLeader(t)
	recorder, server, client := serveRecorded(t, c)
	orders := []*egretmuxv1.DriveOrder{
		{},
		{Id: 1, TimeoutMs: 0, Order: &egretmuxv1.DriveOrder_Start{}},
		{Id: 2, TimeoutMs: -1, Order: &egretmuxv1.DriveOrder_Start{Start: &egretmuxv1.StartOrder{}}},
		{Id: 3, TimeoutMs: math.MinInt64, Order: &egretmuxv1.DriveOrder_Stop{Stop: &egretmuxv1.StopOrder{}}},
		{Id: 4, TimeoutMs: math.MaxInt64, Order: &egretmuxv1.DriveOrder_Pace{Pace: &egretmuxv1.PaceOrder{Percent: math.MinInt32}}},
		{Id: 5, Worker: "w", TimeoutMs: 100, Order: &egretmuxv1.DriveOrder_Look{Look: &egretmuxv1.LookOrder{WaitMs: math.MinInt64, LeaseUntil: -1, Cursor: math.MaxUint64}}},
	}
	f := newFiller(2)
	for range 300 {
		order := &egretmuxv1.DriveOrder{}
		f.fill(order.ProtoReflect(), 4)
		orders = append(orders, order)
	}
	ctx := contextWithTimeout(t, 20*time.Second)
	stream := c.dialer.Clients(server.Listener.Addr().String()).Jobs.Drive(ctx)
	require.NoError(t, stream.Send(&egretmuxv1.DriveRequest{Orders: orders}))
	answers := 0
	for answers < len(orders) {
		msg, err := stream.Receive()
		require.NoError(t, err)
		answers += len(msg.GetAnswers())
	}
	url := server.URL + egretmuxv1connect.JobCellServiceDriveProcedure
	for n := range 150 {
		m := &egretmuxv1.DriveRequest{}
		f.fill(m.ProtoReflect(), 4)
		body := f.mutated(m)
		length := pick(f, uint32(len(body)), uint32(len(body)), 0, uint32(len(body)+1), math.MaxUint32)
		postRaw(t, client, url, "application/connect+proto", envelope(pick(f, byte(0), 0, 0, 1, 2, 255), length, body))
		require.Empty(t, recorder.recorded(), "message %d", n)
	}
	requireServing(t, c)
}
