package telemetry

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/refusal"
)

func TestRegisterShowsZeroCounters(t *testing.T) {
	Register()
	var text bytes.Buffer
	WriteMetrics(&text)
	for _, kind := range refusal.Kinds() {
		require.Contains(t, text.String(), `egretmux_refusals_total{kind="`+string(kind)+`",ran="no"} 0`)
		require.Contains(t, text.String(), `egretmux_refusals_total{kind="`+string(kind)+`",ran="unknown"} 0`)
		require.Contains(t, text.String(), `egretmux_retries_total{reason="`+string(kind)+`"} 0`)
	}
}

func TestSetLevelRefusesUnknownNames(t *testing.T) {
	previous, err := SetLevel("info")
	require.NoError(t, err)
	for _, name := range []string{"", "loud", "INFO "} {
		_, err := SetLevel(name)
		require.Error(t, err, name)
	}
	_, err = SetLevel(previous)
	require.NoError(t, err)
}
