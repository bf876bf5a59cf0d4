package main

import (
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

// TestScripts runs the scripts of testdata against both programs. None needs
// a cell.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
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
