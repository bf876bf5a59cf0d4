// Package certs reads TLS certificates from files and reads them again when the
// files change.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// recheckPeriod is how often the files are looked at, when connections arrive.
const recheckPeriod = time.Second

// Pool returns the certificates of a PEM file.
func Pool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no certificate in PEM form", file)
	}
	return pool, nil
}

// Pair is a certificate and its key. Files that cannot be read leave the last
// good pair in use.
type Pair struct {
	certFile, keyFile string
	onReload          func(error)

	mu      sync.Mutex
	current *tls.Certificate
	stamp   [2]fileStamp
	checked time.Time
}

// fileStamp tells one state of a file from another.
type fileStamp struct {
	changed time.Time
	size    int64
}

func stampOf(file string) fileStamp {
	info, err := os.Stat(file)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{changed: info.ModTime(), size: info.Size()}
}

// Load reads a pair. onReload is called after each later reading, with the
// error or nil.
func Load(certFile, keyFile string, onReload func(error)) (*Pair, error) {
	p := &Pair{certFile: certFile, keyFile: keyFile, onReload: onReload}
	return p, p.read(p.stamps())
}

func (p *Pair) stamps() [2]fileStamp { return [2]fileStamp{stampOf(p.certFile), stampOf(p.keyFile)} }

func (p *Pair) read(stamp [2]fileStamp) error {
	pair, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	p.stamp = stamp
	if err != nil {
		return err
	}
	p.current = &pair
	return nil
}

// Reload reads the files again if they changed since the last reading.
func (p *Pair) Reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reload()
}

func (p *Pair) reload() {
	if stamp := p.stamps(); stamp != p.stamp {
		p.onReload(p.read(stamp))
	}
}

// Config returns a server's TLS configuration that uses the pair.
func (p *Pair) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"}, GetCertificate: p.get}
}

func (p *Pair) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.checked) > recheckPeriod {
		p.checked = now
		p.reload()
	}
	return p.current, nil
}
