//go:build syncdelay

package wal

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// syncDelayVariable names a file with the milliseconds by which each sync is delayed, for trials on disks that are
// slow, and those by which a batch is held back before it is written, which a killed process loses as a machine that
// loses power does. A missing or empty file delays nothing.
const syncDelayVariable = "EGRETMUX_SYNC_DELAY_FILE"

func delaySync() { sleepFor(0) }

func delayWrite() { sleepFor(1) }

func sleepFor(field int) {
	text, err := os.ReadFile(os.Getenv(syncDelayVariable))
	if err != nil {
		return
	}
	fields := strings.Fields(string(text))
	if field >= len(fields) {
		return
	}
	if ms, err := strconv.Atoi(fields[field]); err == nil {
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
}
