package daemon

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"time"

	"github.com/egretmux/egretmux/internal/settings"
)

// recheckCertificate is how often the certificate files' times are looked at.
const recheckCertificate = time.Second

// withTLS wraps a listener that has certificate files.
func withTLS(l net.Listener, s settings.Listener) (net.Listener, error) {
	if s.CertFile == "" {
		return l, nil
	}
	r := &certificate{certFile: s.CertFile, keyFile: s.KeyFile}
	if err := r.load(); err != nil {
		return nil, err
	}
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"}, GetCertificate: r.get,
	}), nil
}

// certificate reads its files again when they change. A pair that cannot be
// read leaves the old one in use.
type certificate struct {
	certFile, keyFile string

	mu      sync.Mutex
	current *tls.Certificate
	changed time.Time
	checked time.Time
}

func (c *certificate) load() error {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return err
	}
	c.current = &pair
	c.changed = newest(c.certFile, c.keyFile)
	return nil
}

func newest(files ...string) time.Time {
	var t time.Time
	for _, f := range files {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(t) {
			t = info.ModTime()
		}
	}
	return t
}

func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.checked) > recheckCertificate {
		c.checked = now
		if !newest(c.certFile, c.keyFile).Equal(c.changed) {
			_ = c.load()
		}
	}
	return c.current, nil
}
