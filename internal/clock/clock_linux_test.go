package clock_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/clock"
)

// Guards against a clock that leaves out the time for which the machine was suspended:
// /proc/uptime counts it.
func TestClockCountsSuspendedTime(t *testing.T) {
	const resolution = 10 * time.Millisecond // of /proc/uptime
	read := clock.New()
	before := read()
	line, err := os.ReadFile("/proc/uptime")
	require.NoError(t, err)
	after := read()
	uptime, err := time.ParseDuration(strings.Fields(string(line))[0] + "s")
	require.NoError(t, err)
	require.GreaterOrEqual(t, uptime, before-resolution)
	require.LessOrEqual(t, uptime, after)
}
