package entry

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/egretmux/egretmux/internal/link"
)

// hopHeaders are not passed on, in either direction.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// ownPrefix begins the headers that only this system sets.
const ownPrefix = "Egretmux-"

// outgoing builds the request that goes to the endpoint.
func outgoing(r *http.Request, c *call) *http.Request {
	out := &http.Request{
		Method: r.Method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    &url.URL{Scheme: "http", Host: r.Host, Path: c.path, RawQuery: r.URL.RawQuery},
		Host:   r.Host,
		Header: passedOn(r.Header),
		Body:   http.NoBody,
	}
	if len(c.body) > 0 {
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(c.body)), int64(len(c.body))
	}
	out.Header.Del("Authorization")
	if out.Header.Get("User-Agent") == "" {
		out.Header["User-Agent"] = []string{""} // otherwise the library adds its own
	}
	out.Header.Set(link.RequestIDHeader, c.id)
	out.Header.Set(CustomerHeader, c.customer.Customer)
	out.Header.Set(ClassHeader, c.class.Name)
	out.Header.Set(DeadlineHeader, strconv.FormatInt(max(1, time.Until(c.deadline).Milliseconds()), 10))
	if c.key != "" {
		out.Header.Set(KeyHeader, c.key)
	}
	return out
}

// passedOn returns the headers without those of one hop and those that only
// this system sets.
func passedOn(from http.Header) http.Header {
	to := from.Clone()
	for _, line := range from.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
	for name := range to {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), ownPrefix) {
			delete(to, name)
		}
	}
	return to
}

func copyHeaders(to, from http.Header) {
	for name, values := range passedOn(from) {
		to[name] = values
	}
}
