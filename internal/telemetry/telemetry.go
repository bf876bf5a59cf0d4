// Package telemetry provides the process's logger and metrics.
package telemetry

import (
	"io"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/egretmux/egretmux/internal/refusal"
)

// NewLogger returns a logger that writes one JSON object per line, with a
// timestamp and the instance in each.
func NewLogger(w io.Writer, instance string) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).With().Timestamp().Str("instance", instance).Logger()
}

// SetLevel sets the minimum level of every logger of the process and returns the
// previous one.
func SetLevel(name string) (string, error) {
	previous := zerolog.GlobalLevel().String()
	level, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		return previous, errors.Newf("%q is not a log level", name)
	}
	zerolog.SetGlobalLevel(level)
	return previous, nil
}

func refusalCounter(kind refusal.Kind, ran refusal.Ran) *metrics.Counter {
	return metrics.GetOrCreateCounter(`egretmux_refusals_total{kind="` + string(kind) + `",ran="` + string(ran) + `"}`)
}

func retryCounter(reason refusal.Kind) *metrics.Counter {
	return metrics.GetOrCreateCounter(`egretmux_retries_total{reason="` + string(reason) + `"}`)
}

// Register creates the counters of every kind of refusal and every reason for a
// retry at zero, so that their rates have a first sample.
func Register() {
	for _, kind := range refusal.Kinds() {
		refusalCounter(kind, refusal.No)
		refusalCounter(kind, refusal.Unknown)
		retryCounter(kind)
	}
}

// CountRefusal counts a refused request by kind and by whether it may have run.
func CountRefusal(e *refusal.Error) {
	refusalCounter(e.Kind, e.Ran).Inc()
}

// CountRetry counts a retried attempt by reason.
func CountRetry(reason refusal.Kind) {
	retryCounter(reason).Inc()
}

// Count adds one to a counter. The name gets the prefix egretmux_ and may end in
// labels.
func Count(name string) { metrics.GetOrCreateCounter("egretmux_" + name).Inc() }

// Add adds n to a counter, named as in Count.
func Add(name string, n int) { metrics.GetOrCreateCounter("egretmux_" + name).Add(n) }

// Gauge returns a gauge, named as in Count.
func Gauge(name string) *metrics.Gauge { return metrics.GetOrCreateGauge("egretmux_"+name, nil) }

// SetGauge sets a gauge, named as in Count.
func SetGauge(name string, value float64) { Gauge(name).Set(value) }

// ObserveSeconds records a duration in the histogram egretmux_NAME_seconds. The
// name may end in labels.
func ObserveSeconds(name string, d time.Duration) {
	base, labels, _ := strings.Cut(name, "{")
	if labels != "" {
		labels = "{" + labels
	}
	metrics.GetOrCreateHistogram("egretmux_" + base + "_seconds" + labels).Update(d.Seconds())
}

// WriteMetrics writes all metrics in the Prometheus text format.
func WriteMetrics(w io.Writer) { metrics.WritePrometheus(w, true) }
