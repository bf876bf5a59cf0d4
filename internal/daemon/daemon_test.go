package daemon

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/cli"
	"github.com/egretmux/egretmux/internal/settings"
	"github.com/egretmux/egretmux/internal/standin"
)

const (
	operatorToken  = "operator-credential"
	announcerToken = "announcer-credential"
	customerToken  = "customer-credential"
	workerToken    = "secret-towards-workers"
)

func sha256Hex(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// testCell is a cell of instances in this process. Their listeners are open
// before the settings are written, so that no other process can take a port.
type testCell struct {
	t         *testing.T
	folder    string
	listeners map[string]net.Listener // by address
	addresses map[string]string       // by instance and listener
	instances []string                // names
}

func newCell(t *testing.T, names ...string) *testCell {
	c := &testCell{t: t, folder: t.TempDir(), listeners: make(map[string]net.Listener), addresses: make(map[string]string), instances: names}
	for _, name := range names {
		for _, l := range []string{"callers", "control", "cell"} {
			opened, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = opened.Close() })
			c.listeners[opened.Addr().String()] = opened
			c.addresses[name+" "+l] = opened.Addr().String()
		}
	}
	c.writeFile("cell.key", "key-between-instances")
	c.writeFile("worker.token", workerToken)
	return c
}

func (c *testCell) path(name string) string { return filepath.Join(c.folder, name) }

func (c *testCell) writeFile(name, text string) {
	require.NoError(c.t, os.WriteFile(c.path(name), []byte(text), 0o600))
}

// settingsText returns the text of an instance's settings file with extra at its end.
func (c *testCell) settingsText(name, extra string) string {
	var voters []string
	for _, v := range c.instances {
		voters = append(voters, v+"="+c.addresses[v+" cell"])
	}
	return fmt.Sprintf(`
[instance]
id = %[1]s
datacentre = se-atl
data_folder = %[2]s
[listen]
callers = %[3]s
control = %[4]s
cell = %[5]s
[cell]
voters = %[6]s
key_file = %[7]s/cell.key
[access]
operator_sha256 = %[8]s
announcer_sha256 = %[9]s
worker_token_file = %[7]s/worker.token
[timing]
readiness_wait = 0s
%[10]s`, name, c.path(name), c.addresses[name+" callers"], c.addresses[name+" control"], c.addresses[name+" cell"],
		strings.Join(voters, ","), c.folder, sha256Hex(operatorToken), sha256Hex(announcerToken), extra)
}

// testInstance is an instance with Run in the background.
type testInstance struct {
	*Daemon
	stop     func()
	stopNow  func()
	runError chan error
	log      *safeBuffer
}

func (c *testCell) start(name, extra string) *testInstance {
	require.NoError(c.t, os.MkdirAll(c.path(name), 0o700))
	s, err := settings.Parse(name+".ini", c.settingsText(name, extra))
	require.NoError(c.t, err)
	log := &safeBuffer{}
	listen := func(_, address string) (net.Listener, error) { return c.listeners[address], nil }
	d, err := NewWithListenFunc(s, zerolog.New(log).With().Str("instance", name).Logger(), listen)
	require.NoError(c.t, err)
	ctx, stop := context.WithCancel(context.Background())
	stopNow := make(chan struct{})
	r := &testInstance{Daemon: d, stop: stop, stopNow: sync.OnceFunc(func() { close(stopNow) }), runError: make(chan error, 1), log: log}
	go func() { r.runError <- d.Run(ctx, stopNow) }()
	c.t.Cleanup(func() {
		r.stop()
		r.stopNow()
		r.wait()
	})
	return r
}

// wait waits for Run to end and returns its error; later calls return nil.
func (r *testInstance) wait() error {
	err, open := <-r.runError
	if open {
		close(r.runError)
	}
	return err
}

func (c *testCell) controlAddresses() string {
	var controls []string
	for _, name := range c.instances {
		controls = append(controls, c.addresses[name+" control"])
	}
	return strings.Join(controls, ",")
}

// cli runs the command line and returns its exit code and output.
func (c *testCell) cli(args ...string) (int, string) {
	var out bytes.Buffer
	code := cli.Main(append([]string{"--server", c.controlAddresses(), "--token", operatorToken}, args...), &out, &out)
	return code, out.String()
}

func (c *testCell) mustCLI(args ...string) string {
	code, out := c.cli(args...)
	require.Equal(c.t, cli.ExitOK, code, "%v: %s", args, out)
	return out
}

type safeBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func get(t *testing.T, client *http.Client, url, token string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := client.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body)
}

func contractText(queue int) string {
	return fmt.Sprintf("[contract]\ncustomer = dixie\nshare = 0.5\ncredential_sha256 = %s\n[class.lookup]\nanswer = at-once\nqueue = %d\n", sha256Hex(customerToken), queue)
}

// TestCellLifecycle runs three instances from the forming of the cell to a graceful
// shutdown with a request in flight.
func TestCellLifecycle(t *testing.T) {
	c := newCell(t, "a1", "a2", "a3")
	first := c.start("a1", "")
	status, body := get(t, http.DefaultClient, "http://"+c.addresses["a1 control"]+"/healthz", "")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "ok: "+conditionForming+"\n", body, "a voter that waits for the others answers its health check")
	status, body = get(t, http.DefaultClient, "http://"+c.addresses["a1 control"]+"/readyz", "")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, conditionForming+"\n", body)
	require.Equal(t, http.StatusServiceUnavailable, c.requestStatus(http.MethodPost, "http://"+c.addresses["a1 control"]+"/egretmux.v1.TaskService/ListTasks", customerToken, "{}"),
		"an instance without contracts does not report a credential as unknown")

	all := []*testInstance{first, c.start("a2", ""), c.start("a3", "")}
	for _, r := range all {
		<-r.relay.Ready()
	}
	require.Contains(t, c.mustCLI("status"), "workers 0 ready")

	c.writeFile("dixie.ini", contractText(128))
	require.Contains(t, c.mustCLI("contract", "apply", "--change-id", "first", c.path("dixie.ini")), "in force on all 3 instances")
	require.Contains(t, c.mustCLI("contract", "apply", c.path("dixie.ini")), "unchanged: contract dixie version 1")
	require.Contains(t, c.mustCLI("contract", "apply", "--change-id", "first", c.path("dixie.ini")), "version 1", "a resent change gets its first answer")
	c.checkVersionConflict()

	journal, err := standin.OpenJournal(c.path("journal"))
	require.NoError(t, err)
	announcer := standin.NewAnnouncer(strings.Split(c.controlAddresses(), ","), announcerToken)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := socket.Addr().String()
	require.NoError(t, socket.Close())
	worker := standin.NewWorker(standin.WorkerConfig{
		Record:    &egretmuxv1.Worker{Id: "w1", Address: address, Datacentre: "se-atl", Rack: "r1", Capacity: &egretmuxv1.Resources{CpuMillis: 16000, MemoryMib: 65536}},
		Announcer: announcer, Journal: journal, Slots: 8, Links: 60, CommandToken: workerToken,
	})
	ctx, stopWorker := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	workers.Go(func() { _ = worker.Run(ctx) })
	t.Cleanup(func() {
		stopWorker()
		workers.Wait()
	})
	c.mustCLI("task", "submit", "--customer", "dixie", "--name", "rollup", "--command", "run 10ms", "--wait")
	c.mustCLI("task", "submit", "--customer", "dixie", "--kind", "service", "--name", "lease", "--service", "lease", "--idempotent", "--wait")
	url := "http://" + c.addresses["a1 callers"] + "/service/lease/lookup"
	require.Eventually(t, func() bool {
		status, _ := get(t, http.DefaultClient, url, customerToken)
		return status == http.StatusOK
	}, time.Minute, 20*time.Millisecond)

	c.stopUnderLoad(first, url)
	require.Contains(t, c.mustCLI("instance", "list"), "a2")
}

// checkVersionConflict applies a contract with an outdated base version.
func (c *testCell) checkVersionConflict() {
	c.writeFile("dixie.ini", contractText(64))
	c.mustCLI("contract", "apply", "--author", "anna", c.path("dixie.ini"))
	c.writeFile("dixie.ini", contractText(32))
	code, out := c.cli("contract", "apply", "--base-version", "1", c.path("dixie.ini"))
	require.Equal(c.t, cli.ExitConflict, code, out)
	require.Contains(c.t, out, "contract dixie is at version 2, applied by anna")
	require.Contains(c.t, out, "-queue = 64\n+queue = 32")
	code, _ = c.cli("contract", "diff", c.path("dixie.ini"))
	require.Equal(c.t, cli.ExitDiffers, code)
}

// stopUnderLoad stops an instance while a request is in flight there.
func (c *testCell) stopUnderLoad(r *testInstance, url string) {
	type answer struct {
		status int
		err    error
	}
	answers := make(chan answer, 1)
	go func() {
		req, err := http.NewRequest(http.MethodGet, url+"?work=500ms", nil)
		if err != nil {
			answers <- answer{err: err}
			return
		}
		req.Header.Set("Authorization", "Bearer "+customerToken)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			answers <- answer{err: err}
			return
		}
		_, err = io.ReadAll(resp.Body)
		answers <- answer{resp.StatusCode, err}
	}()
	require.Eventually(c.t, func() bool { return r.entry.InFlight() == 1 }, time.Minute, time.Millisecond)
	r.stop()
	<-r.draining
	status, body := get(c.t, http.DefaultClient, "http://"+c.addresses["a1 control"]+"/readyz", "")
	require.Equal(c.t, http.StatusServiceUnavailable, status)
	require.Equal(c.t, conditionDraining+"\n", body)
	a := <-answers
	require.NoError(c.t, a.err)
	require.Equal(c.t, http.StatusOK, a.status)
	require.NoError(c.t, r.wait())
	require.NotContains(c.t, r.log.String(), "requests_cut")
	require.NotContains(c.t, r.log.String(), "leave_not_told")
}
