package main

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/cli"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"egretmuxd": main,
		"egretmux":  func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts in testdata, which use both programs without a cell.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			occupied, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			env.Defer(func() { _ = occupied.Close() })
			env.Setenv("TAKEN", occupied.Addr().String())
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exitcode": exitCode},
	})
}

// exitCode runs "exitcode CODE PROGRAM ARGUMENTS..." and checks the exit code.
func exitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	code := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("%v ended with %d, not %s (%v)", args[1:], code, args[0], err)
	}
}

// Guards against an instance that was ended by the notice of renewed certificates, as it had not yet begun
// to handle signals.
func TestHangupDoesNotEndAnInstanceThatStarts(t *testing.T) {
	const pause = 200 * time.Millisecond
	file := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, syscall.Mkfifo(file, 0o600)) // the process waits for its content
	process := exec.Command("egretmuxd", "--settings", file)
	require.NoError(t, process.Start())
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	t.Cleanup(func() {
		_ = process.Process.Kill() // it may have ended
	})
	var pipe *os.File
	require.Eventually(t, func() bool {
		var err error
		pipe, err = os.OpenFile(file, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil // else nobody reads it
	}, time.Minute, 10*time.Millisecond)
	defer func() { require.NoError(t, pipe.Close()) }()
	require.NoError(t, process.Process.Signal(syscall.SIGHUP))
	time.Sleep(pause)
	select {
	case err := <-ended:
		require.FailNow(t, "the process has ended", "%v", err)
	default:
	}
	require.NoError(t, process.Process.Signal(syscall.SIGTERM))
	require.Error(t, <-ended, "nothing is served yet, so that it ends at once")
}

// Guards against an instance that did not notice a stop signal while a certificate that was reloaded hung:
// it was killed with requests in flight.
func TestInstanceStopsWhileACertificateHangs(t *testing.T) {
	signals, stopped, stopNow := make(chan os.Signal), make(chan struct{}), make(chan struct{})
	reading, released, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	reload := sync.OnceFunc(func() {
		close(reading)
		<-released
	})
	go func() {
		defer close(ended)
		handleSignals(signals, zerolog.Nop(), reload, func() { close(stopped) }, stopNow)
	}()
	defer func() {
		close(released)
		close(signals)
		<-ended
	}()
	signals <- syscall.SIGHUP
	<-reading
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM} {
		select {
		case signals <- s:
		case <-time.After(time.Minute):
			require.FailNow(t, "the instance does not notice its signals")
		}
	}
	<-stopped
}

// Guards against an instance that was ended by its next line since nobody read its log any more.
func TestInstanceWhoseLogIsNotReadIsNotEndedByIt(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(file, []byte("[none]\n"), 0o600)) // it tells of that in its log
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	require.NoError(t, reader.Close())
	process := exec.Command("egretmuxd", "--settings", file)
	process.Stderr = writer
	require.NoError(t, process.Start())
	require.NoError(t, writer.Close())
	var exit *exec.ExitError
	require.ErrorAs(t, process.Wait(), &exit)
	require.Equal(t, exitSettings, exit.ExitCode(), "%v", exit)
}
