package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/link"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/standin"
)

const wholeAnswer = "HTTP/1.1 200 OK\r\nEgretmux-Request-Id: r1\r\nContent-Length: 11\r\n\r\nhello world"

const chunkedAnswer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 207 Multi-Status\r\nEgretmux-Request-Id: r1\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n" +
	"5\r\nhello\r\n6\r\n world\r\n0\r\nSum: 11\r\n\r\n"

// serveAnswer accepts connections and answers each request with the given bytes.
func serveAnswer(l net.Listener, answer string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				if _, err := io.WriteString(conn, answer); err != nil || strings.Contains(answer, "Connection: close") {
					return
				}
			}
		}()
	}
}

func request(t *testing.T, method string) *http.Request {
	req, err := http.NewRequest(method, "http://endpoint/path", strings.NewReader("body"))
	require.NoError(t, err)
	req.Header.Set(link.RequestIDHeader, "r1")
	return req
}

// exchange makes one exchange over a connection with the given faults. It returns
// the answer's body and trailer and whether the link is still usable, or the error.
func exchange(t *testing.T, method, answer string, faults standin.Faults) (body string, trailer http.Header, usable bool, err error) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		l := network.Listen("e")
		defer func() { _ = l.Close() }()
		go serveAnswer(l, answer)
		network.Fail(faults)
		conn, dialErr := network.Dial(t.Context(), "e")
		require.NoError(t, dialErr)
		lk := link.New(conn)
		defer lk.Close()
		var resp *http.Response
		resp, err = lk.Exchange(t.Context(), request(t, method), link.Limits{Progress: time.Second, Body: time.Second})
		if err != nil {
			return
		}
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		body, trailer, usable = string(data), resp.Trailer, lk.Usable()
	})
	return body, trailer, usable, err
}

func TestAnswerCutOrStalledAtEachByte(t *testing.T) {
	for name, answer := range map[string]string{"length": wholeAnswer, "chunked": chunkedAnswer} {
		for i := 1; i < len(answer); i++ {
			_, _, _, err := exchange(t, http.MethodGet, answer, standin.Faults{CutReadAfter: i})
			require.Error(t, err, "%s cut after %d bytes", name, i)
			require.Equal(t, refusal.Unknown, refusal.Of(err).Ran)
			_, _, _, err = exchange(t, http.MethodGet, answer, standin.Faults{StallAfter: i})
			require.Error(t, err, "%s stalled after %d bytes", name, i)
			require.Equal(t, refusal.Unknown, refusal.Of(err).Ran)
		}
		body, trailer, usable, err := exchange(t, http.MethodGet, answer, standin.Faults{})
		require.NoError(t, err)
		require.Equal(t, "hello world", body)
		require.True(t, usable)
		if name == "chunked" {
			require.Equal(t, "11", trailer.Get("Sum"))
		}
	}
}

func TestCutRequestIsReportedAsNotRunOnlyIfNothingWasSent(t *testing.T) {
	_, _, _, err := exchange(t, http.MethodPost, wholeAnswer, standin.Faults{CutAtOnce: true})
	require.Equal(t, refusal.No, refusal.Of(err).Ran)
	for i := 1; i < 90; i++ {
		_, _, _, err := exchange(t, http.MethodPost, wholeAnswer, standin.Faults{CutWriteAfter: i})
		require.Equal(t, refusal.Unknown, refusal.Of(err).Ran, "cut after %d bytes", i)
	}
}

func TestMismatchedAnswersAreRefused(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nEgretmux-Request-Id: r1\r\n"
	for name, c := range map[string]struct {
		answer string
		kind   refusal.Kind
	}{
		"crossed":      {strings.Replace(wholeAnswer, "r1", "r2", 1), refusal.AnswerMismatch},
		"no id":        {strings.Replace(wholeAnswer, "Egretmux-Request-Id: r1\r\n", "", 1), refusal.AnswerMismatch},
		"two ids":      {strings.Replace(wholeAnswer, "r1\r\n", "r1\r\nEgretmux-Request-Id: r2\r\n", 1), refusal.AnswerMismatch},
		"no end":       {head + "Connection: close\r\n\r\nhello", refusal.AnswerCut},
		"upgrade":      {"HTTP/1.1 101 Switching Protocols\r\nEgretmux-Request-Id: r1\r\n\r\n", refusal.AnswerMismatch},
		"only interim": {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20), refusal.AnswerMismatch},
		"endless head": {head + "X: " + strings.Repeat("x", 2<<20) + "\r\n\r\n", refusal.LinkFailed},
	} {
		_, _, _, err := exchange(t, http.MethodGet, c.answer, standin.Faults{})
		require.Error(t, err, name)
		require.Equal(t, c.kind, refusal.Of(err).Kind, name)
		require.Equal(t, refusal.Unknown, refusal.Of(err).Ran, name)
	}
}

func TestLinkWithUnreadBytesIsNotReused(t *testing.T) {
	body, _, usable, err := exchange(t, http.MethodGet, wholeAnswer+wholeAnswer, standin.Faults{})
	require.NoError(t, err)
	require.Equal(t, "hello world", body)
	require.False(t, usable)
}

func TestAnswersWithoutBody(t *testing.T) {
	for _, c := range []struct{ method, answer string }{
		{http.MethodHead, "HTTP/1.1 200 OK\r\nEgretmux-Request-Id: r1\r\nContent-Length: 11\r\n\r\n"},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nEgretmux-Request-Id: r1\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\nEgretmux-Request-Id: r1\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\nEgretmux-Request-Id: r1\r\n\r\n"},
	} {
		body, _, usable, err := exchange(t, c.method, c.answer, standin.Faults{})
		require.NoError(t, err, c.answer)
		require.Empty(t, body)
		require.True(t, usable, c.answer)
	}
}

// newProbedPool returns a pool on a network whose endpoint e answers probes.
func newProbedPool(t *testing.T) (*standin.Network, *link.Pool) {
	network := standin.NewNetwork()
	l := network.Listen("e")
	t.Cleanup(func() { _ = l.Close() })
	go serveAnswer(l, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	pool := link.NewPool(func(ctx context.Context, address string) (*link.Link, error) {
		conn, err := network.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return link.New(conn), nil
	})
	return network, pool
}

func TestSilentIdleLinksAreReplacedWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 6
		network, pool := newProbedPool(t)
		defer pool.Close()
		pool.SetLimit("e", limit)
		var links []*link.Link
		for range 3 {
			l, err := pool.Get(t.Context(), "e", false)
			require.NoError(t, err)
			links = append(links, l)
		}
		for _, l := range links {
			pool.Put("e", l)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go pool.Run(ctx)
		network.Silence("e")
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		l, err := pool.Get(t.Context(), "e", false)
		require.NoError(t, err)
		_, err = l.Probe(t.Context(), "e", "")
		require.NoError(t, err, "a silent link was handed out")
		pool.Put("e", l)
		require.LessOrEqual(t, network.Peak("e"), limit)
	})
}

func TestSilentLinksCountUntilPeerCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, pool := newProbedPool(t)
		defer pool.Close()
		pool.SetLimit("e", 2)
		for range 2 {
			l, err := pool.Get(t.Context(), "e", false)
			require.NoError(t, err)
			network.Silence("e")
			_, err = l.Probe(t.Context(), "e", "")
			require.Error(t, err)
			pool.Put("e", l)
		}
		_, err := pool.Get(t.Context(), "e", false)
		require.Equal(t, refusal.No, refusal.Of(err).Ran)
		require.EqualValues(t, 2, pool.OpenCount("e"))
		time.Sleep(6 * time.Second)
		l, err := pool.Get(t.Context(), "e", false)
		require.NoError(t, err)
		pool.Put("e", l)
	})
}

func TestNoByteIsSentAfterTheLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, pool := newProbedPool(t)
		defer pool.Close()
		pool.SetLimit("e", 1)
		l, err := pool.Get(t.Context(), "e", false)
		require.NoError(t, err)
		_, err = l.Exchange(t.Context(), request(t, http.MethodPost), link.Limits{SendBy: time.Now(), Progress: time.Second})
		require.Equal(t, refusal.No, refusal.Of(err).Ran, fmt.Sprint(err))
		pool.Put("e", l)
	})
}
