package jobcell

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

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
