// Package certs loads TLS certificates from files and reloads them when the
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

// recheckPeriod is the minimum time between two checks for changed files. TLS
// handshakes trigger the checks.
const recheckPeriod = time.Second

// Pool returns a pool of the certificates in a PEM file.
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

// Pair is a certificate and its key. When a reload fails, the last valid pair
// stays in use.
type Pair struct {
	certFile, keyFile string
	onReload          func(error)

	mu         sync.Mutex
	current    *tls.Certificate
	lastStamps [2]fileStamp // stamps of the certificate and key file at the last attempt to load them
	lastCheck  time.Time    // when the files were last checked for changes
}

// fileStamp identifies a version of a file. It is zero if the file cannot be
// examined.
type fileStamp struct {
	modTime time.Time
	size    int64
}

func stampOf(file string) fileStamp {
	info, err := os.Stat(file)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{modTime: info.ModTime(), size: info.Size()}
}

// Load loads a pair. onReload is called after each reload with its error or nil.
func Load(certFile, keyFile string, onReload func(error)) (*Pair, error) {
	p := &Pair{certFile: certFile, keyFile: keyFile, onReload: onReload}
	return p, p.load(p.stamps())
}

func (p *Pair) stamps() [2]fileStamp { return [2]fileStamp{stampOf(p.certFile), stampOf(p.keyFile)} }

// load loads the pair from the files and records their stamps, also when it
// fails, so that unchanged files are not tried again.
func (p *Pair) load(stamps [2]fileStamp) error {
	pair, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	p.lastStamps = stamps
	if err != nil {
		return err
	}
	p.current = &pair
	return nil
}

// Reload loads the pair again if a file has changed since the last attempt.
func (p *Pair) Reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reload()
}

func (p *Pair) reload() {
	if stamps := p.stamps(); stamps != p.lastStamps {
		p.onReload(p.load(stamps))
	}
}

// Config returns a server's TLS configuration that uses the pair.
func (p *Pair) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"}, GetCertificate: p.getCertificate}
}

// getCertificate implements the GetCertificate callback of tls.Config.
func (p *Pair) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.lastCheck) > recheckPeriod {
		p.lastCheck = now
		p.reload()
	}
	return p.current, nil
}
