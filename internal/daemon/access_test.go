package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/certs"
	"github.com/egretmux/egretmux/internal/cli"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key.
func (c *testCell) writeCertificate(serial int64) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(c.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "egretmux test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	certDER, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(c.t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(c.t, err)
	c.writeFile("cert.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certDER})))
	c.writeFile("key.pem", string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})))
}

func (c *testCell) tlsSettings() string {
	text := "[tls]\n"
	for _, l := range []string{"callers", "control", "cell"} {
		text += l + "_cert = " + c.path("cert.pem") + "\n" + l + "_key = " + c.path("key.pem") + "\n"
	}
	return text + "cell_ca = " + c.path("cert.pem") + "\n"
}

func (c *testCell) tlsClient() *http.Client {
	pool, err := certs.Pool(c.path("cert.pem"))
	require.NoError(c.t, err)
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: true, DisableKeepAlives: true}}
}

// TestTLS checks that every listener serves TLS, that a changed certificate is
// taken into use, and that a broken one is logged.
func TestTLS(t *testing.T) {
	c := newCell(t, "a1")
	c.writeCertificate(1)
	r := c.start("a1", c.tlsSettings())
	<-r.relay.Ready() // the instance called its own cell listener over TLS
	c.mustCLI("--ca", c.path("cert.pem"), "status")
	status, body := get(t, c.tlsClient(), "https://"+c.addresses["a1 callers"]+"/service/lease/lookup", "wrong")
	require.Equal(t, http.StatusUnauthorized, status)
	require.Contains(t, body, `"kind":"unauthenticated","ran":"no"`)

	oldClient := c.tlsClient()
	c.writeCertificate(2)
	r.ReloadCertificates()
	c.mustCLI("--ca", c.path("cert.pem"), "status")
	_, err := oldClient.Get("https://" + c.addresses["a1 control"] + "/healthz")
	require.Error(t, err, "the old certificate is still in use")
	require.Contains(t, r.log.String(), `"event":"certificate_read"`)

	c.writeFile("cert.pem", "broken")
	r.ReloadCertificates()
	require.Contains(t, r.log.String(), `"event":"certificate_not_read"`)
}

// TestCredentialsRequired checks that only the health and readiness checks are
// answered without a credential, and the rest only with the right one.
func TestCredentialsRequired(t *testing.T) {
	c := newCell(t, "a1")
	r := c.start("a1", "")
	<-r.relay.Ready()
	control := "http://" + c.addresses["a1 control"]
	tests := []struct {
		method, path, token string
		status              int
	}{
		{http.MethodGet, "/healthz", "", http.StatusOK},
		{http.MethodGet, "/readyz", "", http.StatusOK},
		{http.MethodGet, "/metrics", "", http.StatusUnauthorized},
		{http.MethodGet, "/metrics", customerToken, http.StatusUnauthorized},
		{http.MethodGet, "/metrics", operatorToken, http.StatusOK},
		{http.MethodPost, "/egretmux.v1.OperatorService/Status", "", http.StatusUnauthorized},
		{http.MethodPost, "/egretmux.v1.OperatorService/Status", announcerToken, http.StatusUnauthorized},
		{http.MethodPost, "/egretmux.v1.OperatorService/Status", operatorToken, http.StatusOK},
		{http.MethodPost, "/egretmux.v1.TaskService/ListTasks", "", http.StatusUnauthorized},
		{http.MethodPost, "/egretmux.v1.AnnounceService/AnnounceWorker", "", http.StatusUnauthorized},
		{http.MethodPost, "/egretmux.v1.AnnounceService/AnnounceWorker", operatorToken, http.StatusUnauthorized},
		{http.MethodPost, "/egretmux.v1.AnnounceService/AnnounceWorker", announcerToken, http.StatusBadRequest},
	}
	for _, test := range tests {
		status := c.requestStatus(test.method, control+test.path, test.token, "{}")
		require.Equal(t, test.status, status, "%s with %q", test.path, test.token)
	}
	cell := "http://" + c.addresses["a1 cell"]
	for _, path := range []string{"/egretmux.v1.CellService/Report", "/egretmux.v1.OperatorService/Status", "/egretmux.v1.ConsensusService/Step"} {
		require.Equal(t, http.StatusUnauthorized, c.requestStatus(http.MethodPost, cell+path, operatorToken, "{}"), "%s without the cell key", path)
	}
}

// TestRequestLimits checks that oversized requests, and changes without a change
// id, are refused.
func TestRequestLimits(t *testing.T) {
	c := newCell(t, "a1")
	r := c.start("a1", "[limits]\nmax_message = 65536\nmax_members = 10\nmax_header = 1024\n")
	<-r.relay.Ready()
	control := "http://" + c.addresses["a1 control"]
	require.Equal(t, http.StatusBadRequest, c.requestStatus(http.MethodPost, control+"/egretmux.v1.OperatorService/Status", operatorToken, strings.Repeat(" ", 65537)))
	require.Equal(t, http.StatusRequestEntityTooLarge, c.requestStatus(http.MethodGet, "http://"+c.addresses["a1 callers"]+"/service/x/y", strings.Repeat("t", 1100), ""))
	oversized, err := http.NewRequest(http.MethodPost, "http://"+c.addresses["a1 callers"]+"/service/x/y", strings.NewReader("x"))
	require.NoError(t, err)
	w := httptest.NewRecorder()
	oversized.ContentLength = r.settings.MaxBodyBytes + 1
	r.callersHandler().ServeHTTP(w, oversized)
	require.Equal(t, http.StatusRequestEntityTooLarge, w.Code, "a body that is declared too large is not read")
	code, out := c.cli("task", "submit", "--name", "wide", "--customer", "dixie", "--members", "11")
	require.Equal(t, cli.ExitRefused, code)
	require.Contains(t, out, "too-large: the task has 11 members; at most 10 are accepted; split the task, or raise [limits] max_members")
	code, out = c.cli("task", "submit", "--name", strings.Repeat("n", 200), "--customer", "dixie")
	require.Equal(t, cli.ExitRefused, code)
	require.Contains(t, out, "spec.name is longer than 128 bytes")
	withoutChangeID, err := json.Marshal(map[string]string{"customer": "dixie", "text": contractText(1)})
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, c.requestStatus(http.MethodPost, control+"/egretmux.v1.OperatorService/ApplyContract", operatorToken, string(withoutChangeID)), "a change without a change id")
}

// TestSecondSignalWhileForming checks that the second signal ends an instance that
// still waits for the other voters.
func TestSecondSignalWhileForming(t *testing.T) {
	c := newCell(t, "a1", "a2", "a3")
	r := c.start("a1", "")
	r.stop()
	r.stopNow()
	require.NoError(t, r.wait())
}

// requestStatus sends a request and returns the HTTP status of the response.
func (c *testCell) requestStatus(method, url, token, body string) int {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(c.t, err)
	req.Header.Set("Content-Type", "application/json")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// TestCallerPaths checks that every path of a service reaches the entry without a
// redirect.
func TestCallerPaths(t *testing.T) {
	c := newCell(t, "a1")
	r := c.start("a1", "")
	<-r.relay.Ready()
	for path, status := range map[string]int{
		"/service/lease/x":       http.StatusUnauthorized,
		"/service/lease//x/../y": http.StatusUnauthorized,
		"/service/lease":         http.StatusUnauthorized,
		"/service/":              http.StatusNotFound,
		"/service":               http.StatusNotFound,
		"/":                      http.StatusNotFound,
		"/healthz":               http.StatusNotFound,
	} {
		w := httptest.NewRecorder()
		r.callersHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		require.Equal(t, status, w.Code, path)
	}
}
