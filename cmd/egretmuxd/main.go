// Command egretmuxd is one instance of an egretmux cell.
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
	s, err := settings.Load(opts.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	busy := s.CheckPorts()
	if busy != nil {
		fmt.Fprintln(os.Stderr, busy)
	}
	switch {
	case opts.CheckSettings: // the instance that the settings are for may be running
		fmt.Println(opts.Settings + ": ok")
		return 0
	case busy != nil:
		return exitSettings
	}
	return serve(s)
}

// serve runs the instance until a signal.
func serve(s *settings.Settings) int {
	logger := telemetry.NewLogger(os.Stderr, s.Instance)
	if _, err := telemetry.SetLevel(s.LogLevel); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	d, err := daemon.New(s, logger)
	if err != nil {
		logger.Error().Err(err).Str("event", "start_failed").Msg("")
		return exitFailure
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hurry := make(chan struct{})
	go followSignals(d, logger, cancel, hurry)
	if err := d.Run(ctx, hurry); err != nil {
		logger.Error().Err(err).Str("event", "instance_failed").Msg("")
		return exitFailure
	}
	return 0
}

// followSignals shuts down gracefully at the first SIGTERM or SIGINT and at
// once at the second. SIGHUP reads changed certificate files.
func followSignals(d *daemon.Daemon, logger zerolog.Logger, stop func(), hurry chan<- struct{}) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	stops := 0
	for s := range signals {
		logger.Info().Str("event", "signal_received").Str("signal", s.String()).Msg("")
		if s == syscall.SIGHUP {
			d.ReadCertificates()
			continue
		}
		stops++
		switch stops {
		case 1:
			stop()
		case 2:
			close(hurry)
		}
	}
}
