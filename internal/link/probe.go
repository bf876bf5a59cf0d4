package link

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rs/xid"
)

// probeTimeout is the time limit of each step of a probe.
const probeTimeout = 250 * time.Millisecond

// Running is an endpoint's answer to the query whether it works on a request.
type Running int

// Values of Running.
const (
	RunningUnknown Running = iota // no answer, or the endpoint does not support queries
	RunningYes
	RunningNo
)

// Probe sends OPTIONS * and waits for the answer. If query is not empty, it also asks
// whether the endpoint still works on the request with that id. An answer with
// another request's id means that answers are out of step with requests. An answer
// without an id is accepted, because some endpoints don't repeat it in answers to
// OPTIONS *.
func (l *Link) Probe(ctx context.Context, host, query string) (Running, error) {
	req := &http.Request{
		Method: http.MethodOptions, URL: &url.URL{Path: "*"}, Host: host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{RequestIDHeader: {"probe-" + xid.New().String()}},
	}
	if query != "" {
		req.Header.Set(QueryHeader, query)
	}
	l.conn.writeDeadline = time.Now().Add(probeTimeout)
	stop := context.AfterFunc(ctx, l.conn.cancel)
	defer stop()
	resp, err := l.probeAnswer(ctx, req)
	if err != nil {
		l.broken = true
		return RunningUnknown, err
	}
	l.lastAnswer = time.Now()
	switch resp.Header.Get(RunningHeader) {
	case "yes":
		return RunningYes, nil
	case "no":
		return RunningNo, nil
	}
	return RunningUnknown, nil
}

func (l *Link) probeAnswer(ctx context.Context, req *http.Request) (*http.Response, error) {
	if err := l.send(req, Limits{Progress: probeTimeout}); err != nil {
		return nil, err
	}
	l.headLimit.N = maxHeadBytes
	l.conn.readWithin(probeTimeout)
	resp, err := http.ReadResponse(l.reader, req)
	if err != nil {
		return nil, l.readError(ctx, err)
	}
	got := resp.Header.Values(RequestIDHeader)
	if len(got) > 0 && got[0] != req.Header.Get(RequestIDHeader) {
		return nil, answerMismatch("the endpoint answered request %q instead of a probe", got)
	}
	if resp.Close || resp.StatusCode < http.StatusOK {
		l.broken = true
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeadBytes)); err != nil {
		return nil, l.readError(ctx, err)
	}
	l.headLimit.N = maxHeadBytes
	return resp, nil
}
