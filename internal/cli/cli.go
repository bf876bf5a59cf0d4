// Package cli is the command line of operators and submitters.
package cli

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/egretmux/egretmux/internal/refusal"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailure  = 1 // no instance answered, or the outcome is unknown
	ExitUsage    = 2
	ExitConflict = 3 // the contract has changed since the base version, or the key belongs to another request
	ExitNotFound = 4
	ExitRefused  = 5 // invalid, forbidden or over a limit
	ExitBehind   = 6 // accepted, but not in force everywhere in time
	ExitTask     = 7 // the task did not succeed, or still runs
	ExitDiffers  = 8 // contract diff found a difference
)

// Globals are the options of every command.
type Globals struct {
	Server    string        `long:"server" env:"EGRETMUX_SERVER" default:"127.0.0.1:7101" description:"control addresses of instances, separated by commas, tried in turn"`
	Token     string        `long:"token" env:"EGRETMUX_TOKEN" description:"credential"`
	TokenFile string        `long:"token-file" env:"EGRETMUX_TOKEN_FILE" description:"file with the credential, to keep it off the command line"`
	TLS       bool          `long:"tls" env:"EGRETMUX_TLS" description:"use TLS"`
	CA        string        `long:"ca" env:"EGRETMUX_CA" description:"file of the certificates that instances are checked against"`
	Output    string        `long:"output" short:"o" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"longest time for the command"`
}

// app holds the global options and the output streams of a command.
type app struct {
	globals Globals
	out     io.Writer
	errOut  io.Writer
}

// exitError is an error with an exit code of its own.
type exitError struct {
	code    int
	message string
}

// Error returns the message.
func (e *exitError) Error() string { return e.message }

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	a := &app{out: out, errOut: errOut}
	parser := flags.NewNamedParser("egretmux", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Exit codes: 0 done; 1 no answer or outcome unknown; 2 wrong usage; 3 conflict; 4 not found; 5 refused; 6 not in force everywhere in time; 7 the task did not succeed or still runs; 8 the files differ from what is in force."
	if _, err := parser.AddGroup("Global options", "", &a.globals); err != nil {
		return reportError(errOut, err)
	}
	if err := a.addCommands(parser); err != nil {
		return reportError(errOut, err)
	}
	_, err := parser.ParseArgs(args)
	var parseErr *flags.Error
	if errors.As(err, &parseErr) {
		if parseErr.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(out, parseErr.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(errOut, parseErr.Message)
		return ExitUsage
	}
	if err != nil {
		return reportError(errOut, err)
	}
	return ExitOK
}

// reportError prints an error and returns its exit code.
func reportError(errOut io.Writer, err error) int {
	_, _ = fmt.Fprintln(errOut, "egretmux: "+err.Error())
	var r *refusal.Error
	if errors.As(err, &r) && r.Difference != "" {
		_, _ = fmt.Fprint(errOut, r.Difference)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var r *refusal.Error
	if !errors.As(err, &r) {
		return ExitFailure
	}
	switch r.Kind {
	case refusal.VersionConflict, refusal.KeyConflict:
		return ExitConflict
	case refusal.NotFound:
		return ExitNotFound
	case refusal.OutcomeUnknown, refusal.NoLeader, refusal.NoLease, refusal.Internal:
		return ExitFailure
	}
	return ExitRefused
}

// group is a command with subcommands.
type group struct{}

func (a *app) addCommands(p *flags.Parser) error {
	type subcommand struct {
		name, short string
		data        any
	}
	groups := []struct {
		name, short string
		subs        []subcommand
	}{
		{"contract", "contracts of customers", []subcommand{
			{"apply", "apply the contract files that differ, and wait until they are in force everywhere", &contractApply{app: a}},
			{"diff", "compare contract files with the versions in force", &contractDiff{app: a}},
			{"get", "print a contract", &contractGet{app: a}},
			{"list", "list contracts", &contractList{app: a}},
			{"history", "list the versions of a contract", &contractHistory{app: a}},
			{"delete", "delete a contract", &contractDelete{app: a}},
			{"check", "check contract files without a cell", &contractCheck{app: a}},
			{"template", "print every key of a contract with its default", &contractTemplate{app: a}},
		}},
		{"task", "tasks", []subcommand{
			{"submit", "submit a task", &taskSubmit{app: a}},
			{"get", "print a task", &taskGet{app: a}},
			{"wait", "wait until a task ends", &taskWait{app: a}},
			{"cancel", "cancel tasks", &taskCancel{app: a}},
			{"list", "list tasks", &taskList{app: a}},
			{"explain", "tell why a task waits", &taskExplain{app: a}},
		}},
		{"worker", "workers", []subcommand{
			{"list", "list workers", &workerList{app: a}},
			{"drain", "let a worker take no new tasks", &workerDrain{app: a}},
			{"undrain", "let a worker take tasks again", &workerDrain{app: a, undrain: true}},
		}},
		{"service", "services", []subcommand{{"list", "list services", &serviceList{app: a}}}},
		{"endpoint", "endpoints", []subcommand{{"list", "list endpoints", &endpointList{app: a}}}},
		{"instance", "instances", []subcommand{
			{"list", "list instances", &instanceList{app: a}},
			{"log-level", "change the log level of one instance", &logLevel{app: a}},
		}},
		{"snapshot", "snapshots of the replicated state", []subcommand{{"inspect", "summarise the newest snapshot in a data folder", &snapshotInspect{app: a}}}},
	}
	for _, g := range groups {
		command, err := p.AddCommand(g.name, g.short, g.short, &group{})
		if err != nil {
			return err
		}
		for _, s := range g.subs {
			if _, err := command.AddCommand(s.name, s.short, s.short, s.data); err != nil {
				return err
			}
		}
	}
	if _, err := p.AddCommand("status", "summarise the cell", "summarise the cell", &status{app: a}); err != nil {
		return err
	}
	if _, err := p.AddCommand("customers", "list the customers of a cell that runs jobs", "list the customers of a cell that runs jobs, with what they use, wait for and were refused", &customers{app: a}); err != nil {
		return err
	}
	if _, err := p.AddCommand("explain", "explain from logs how a job ended", "list the events of a job from the logs of instances, and explain what decided how it ended", &explainCommand{app: a}); err != nil {
		return err
	}
	_, err := p.AddCommand("completion", "print a completion script for bash", "print a completion script for bash", &completion{app: a})
	return err
}

// completion prints a bash script that calls the program itself for completions.
type completion struct{ *app }

// Execute implements flags.Commander.
func (c *completion) Execute([]string) error {
	_, err := fmt.Fprint(c.out, `_egretmux() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -F _egretmux egretmux
`)
	return err
}

func splitAddresses(list string) []string {
	var out []string
	for _, s := range strings.Split(list, ",") {
		if s = strings.TrimSpace(s); s != "" {
			out = append(out, s)
		}
	}
	return out
}

func defaultAuthor() string {
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return "operator"
}
