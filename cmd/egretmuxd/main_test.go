package main

import (
	"net"
	"os"
	"os/exec"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

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
