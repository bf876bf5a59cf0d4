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

// hopByHopHeaders are not forwarded in either direction.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// reservedPrefix starts the names of the headers that only this system sets.
const reservedPrefix = "Egretmux-"

// endpointRequest builds the request that is sent to the endpoint.
func endpointRequest(r *http.Request, c *call) *http.Request {
	out := &http.Request{
		Method: r.Method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    &url.URL{Scheme: "http", Host: r.Host, Path: c.path, RawQuery: r.URL.RawQuery},
		Host:   r.Host,
		Header: endToEndHeaders(r.Header),
		Body:   http.NoBody,
	}
	if len(c.body) > 0 {
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(c.body)), int64(len(c.body))
	}
	out.Header.Del("Authorization")
	if out.Header.Get("User-Agent") == "" {
		out.Header["User-Agent"] = []string{""} // otherwise net/http adds its own
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

// endToEndHeaders returns a copy without the hop-by-hop headers and those that
// only this system sets.
func endToEndHeaders(from http.Header) http.Header {
	to := from.Clone()
	for _, value := range from.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
	for name := range to {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), reservedPrefix) {
			delete(to, name)
		}
	}
	return to
}

func copyHeaders(to, from http.Header) {
	for name, values := range endToEndHeaders(from) {
		to[name] = values
	}
}
