// Command egretmuxd runs one instance of an egretmux cell.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/egretmux/egretmux/internal/daemon"
	"github.com/egretmux/egretmux/internal/inifile"
	"github.com/egretmux/egretmux/internal/settings"
	"github.com/egretmux/egretmux/internal/telemetry"
	"github.com/egretmux/egretmux/platform"
)

// Exit codes.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitSettings = 3
)

const maxPendingSignals = 4

type options struct {
	Settings      string `long:"settings" short:"s" description:"settings file" default:"egretmuxd.ini"`
	CheckSettings bool   `long:"check-settings" description:"check the settings file and exit"`
	Platform      bool   `long:"platform" description:"serve on the users' platform, with the settings file that it names"`
	PrintDefaults bool   `long:"print-defaults" description:"print every setting with its default and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var opts options
	parser := flags.NewNamedParser("egretmuxd", flags.Default)
	parser.LongDescription = "One instance of an egretmux cell. Exit codes: 0 stopped or checked; 1 failed; 2 wrong usage; 3 settings refused."
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return exitUsage
	}
	if _, err := parser.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitUsage
	}
	if opts.Platform {
		if err := platform.Run(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailure
		}
		return 0
	}
	if opts.PrintDefaults {
		fmt.Print(inifile.Defaults(settings.Schema()))
		return 0
	}
	signals := make(chan os.Signal, maxPendingSignals)
	if !opts.CheckSettings {
		signal.Notify(signals, syscall.SIGHUP) // it must not end a process that starts
		signal.Ignore(syscall.SIGPIPE)         // of a log that nobody reads any more
	}
	s, err := settings.Load(opts.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	portsErr := s.CheckPorts()
	if portsErr != nil {
		fmt.Fprintln(os.Stderr, portsErr)
	}
	switch {
	case opts.CheckSettings: // ports in use are no fault: the instance may be running
		fmt.Println(opts.Settings + ": ok")
		return 0
	case portsErr != nil:
		return exitSettings
	}
	return serve(s, signals)
}

// serve runs the instance until a signal or a failure.
func serve(s *settings.Settings, signals chan os.Signal) int {
	logger := telemetry.NewLogger(os.Stderr, s.Instance)
	if _, err := telemetry.SetLevel(s.LogLevel); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	d, err := daemon.New(s, logger)
	if err != nil {
		logger.Error().Err(err).Str("event", "start_failed").Msg("could not start the instance")
		return exitFailure
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopNow := make(chan struct{})
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go handleSignals(signals, logger, d.ReloadCertificates, cancel, stopNow)
	if err := d.Run(ctx, stopNow); err != nil {
		logger.Error().Err(err).Str("event", "instance_failed").Msg("the instance stopped because of a failure")
		return exitFailure
	}
	return 0
}

// handleSignals begins a graceful shutdown at the first SIGTERM or SIGINT and stops
// at once at the second. SIGHUP reloads, in a goroutine of its own, as a file that
// hangs must not delay a stop.
func handleSignals(signals <-chan os.Signal, logger zerolog.Logger, reload, stop func(), stopNow chan<- struct{}) {
	reloads := make(chan struct{}, 1)
	defer close(reloads)
	go func() {
		for range reloads {
			reload()
		}
	}()
	stopSignals := 0
	for s := range signals {
		logger.Info().Str("event", "signal_received").Str("signal", s.String()).Msg("received a signal")
		if s == syscall.SIGHUP {
			select {
			case reloads <- struct{}{}:
			default: // the reload that is about to begin sees the change
			}
			continue
		}
		stopSignals++
		switch stopSignals {
		case 1:
			stop()
		case 2:
			close(stopNow)
		}
	}
}
