package jobcell

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/scheduler"
)

// Guards against reads of the configuration that were refused without a trace, so that logs could not tell a
// cell without a leader from an instance that does not reach it.
func TestRefusedReadOfTheConfigurationIsLogged(t *testing.T) {
	var log bytes.Buffer
	c, err := New(Config{
		Address: freeAddress(t), Seeds: []string{freeAddress(t)}, Logger: zerolog.New(&log),
		Scheduler: scheduler.Config{WorkerClient: newFakeWorkers()},
	})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = c.Catalogue(ctx)
	require.Error(t, err)
	require.Contains(t, log.String(), `"event":"catalogue_read_refused"`)
	require.Contains(t, log.String(), `"reason":"no-leader"`)
	require.Contains(t, log.String(), `"in_contact":false`)
}

// Guards against a large configuration that is read through an instance whose link takes longer for it than operators
// wait, and against one that is refused at the leader.
func TestLargeConfigurationIsReadAtTheLeader(t *testing.T) {
	const control = "127.0.0.1:1"
	instances := startCell(t, 2, 1)
	leader, other := instances[0], instances[1]
	leader.configure = func(c *Cell) { c.cfg.Control = control }
	leader.kill()
	leader.restart()
	require.Eventually(t, leader.cell.scheduler.Leads, redundancyBound, checkPeriod)
	large := bytes.Repeat([]byte("x"), maxForwardedBytes+1)
	require.NoError(t, leader.cell.PutCatalogue(t.Context(), &egretmuxv1.Catalogue{Version: 1, Source: large}))
	var redirect *RedirectError
	require.Eventually(t, func() bool {
		_, err := other.cell.Catalogue(t.Context())
		return errors.As(err, &redirect)
	}, redundancyBound, checkPeriod)
	require.Equal(t, control, redirect.Control)
	read, err := leader.cell.Catalogue(t.Context())
	require.NoError(t, err)
	require.Equal(t, large, read)
}

// Guards against reads that wait for a leader whose disk hangs, at that instance or at another one.
func TestConfigurationCanBeReadWhileTheDiskOfTheLeaderHangs(t *testing.T) {
	const calm = 4 * time.Second // from a fault until reads must be answered again
	instances := startCell(t, 4, 3)
	require.NoError(t, instances[3].cell.PutCatalogue(t.Context(), &egretmuxv1.Catalogue{Version: 1, Source: []byte("configuration")}))
	leader := leaderOf(instances)
	require.NotNil(t, leader)
	stalled, released := make(chan struct{}), make(chan struct{})
	go func() {
		_ = leader.cell.scheduler.Node().Do(context.Background(), func(*core.Core) error {
			close(stalled)
			<-released
			return nil
		})
	}()
	<-stalled
	defer close(released)
	deadline := time.Now().Add(calm)
	for _, i := range instances {
		require.Eventually(t, func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			read, err := i.cell.Catalogue(ctx)
			return err == nil && string(read) == "configuration"
		}, time.Until(deadline), checkPeriod, "instance %s, which led: %v", i.address, i == leader)
	}
}
