package jobcell

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/settings"
	"github.com/egretmux/egretmux/internal/telemetry"
	"github.com/egretmux/egretmux/internal/voter"
)

const (
	folderOpenTimeout = 500 * time.Millisecond // that an instance waits for its data folder before it serves without a replica
	folderRetryPeriod = time.Second
)

// replicaPath is the path of the messages between replicas.
const replicaPath = "/" + egretmuxv1connect.ConsensusServiceName + "/"

// dataFolder is the data folder of this instance, opened.
type dataFolder struct {
	voter   *voter.Voter
	handler http.Handler // of the voter
	members *memberFile
}

// voter returns the replica of this instance, or nil if there is none: without a data folder, and
// as long as it could not be opened.
func (c *Cell) voter() *voter.Voter {
	if folder := c.folder.Load(); folder != nil {
		return folder.voter
	}
	return nil
}

// beginOpening opens the data folder in the background, as a disk may hang.
func (c *Cell) beginOpening() {
	go func() { c.folderOpened <- c.openDataFolder() }()
}

func (c *Cell) openDataFolder() error {
	v, err := voter.Open(&settings.Settings{
		Instance: c.cfg.Address, DataFolder: c.cfg.DataFolder, Cell: settings.Listener{Address: c.cfg.Address},
		Tick: tickInterval, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, SnapshotEntries: snapshotEntries,
	}, c.dialer, c.cfg.Logger)
	if err != nil {
		return err
	}
	folder := &dataFolder{voter: v, members: newMemberFile(v.Disk(), c.cfg.Logger)}
	_, folder.handler = v.Handler()
	c.directory.Remember(folder.members.read())
	c.folder.Store(folder)
	return nil
}

// waitBriefly waits for the data folder, so that an instance announces its replica from the first.
func (c *Cell) waitBriefly() {
	select {
	case err := <-c.folderOpened:
		c.folderOpened <- err
	case <-time.After(folderOpenTimeout):
		c.cfg.Logger.Warn().Str("event", "data_folder_slow").Str("folder", c.cfg.DataFolder).Msg("serving without a replica until the data folder is open")
	}
}

// awaitDataFolder waits until the data folder is open, and tries again when it could not be opened.
// It reports false if the context ends before.
func (c *Cell) awaitDataFolder(ctx context.Context) bool {
	began, reason := time.Now(), ""
	for {
		var err error
		select {
		case <-ctx.Done():
			return false
		case err = <-c.folderOpened:
		}
		if err == nil {
			if reason != "" {
				c.cfg.Logger.Info().Str("event", "data_folder_opened").Int64("age_ms", time.Since(began).Milliseconds()).Msg("this instance keeps a replica now")
			}
			return true
		}
		telemetry.CountRetry("data-folder-not-opened")
		if err.Error() != reason {
			reason = err.Error()
			c.cfg.Logger.Error().Err(err).Str("event", "data_folder_not_opened").Msg("serving without a replica; trying again")
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(folderRetryPeriod):
		}
		c.beginOpening()
	}
}

// runDataFolder runs the replica and what else lives in the data folder.
func (c *Cell) runDataFolder(ctx context.Context) {
	if !c.awaitDataFolder(ctx) {
		return
	}
	var loops sync.WaitGroup
	loops.Go(func() { c.runReplica(ctx) })
	loops.Go(func() { c.memberFileLoop(ctx) })
	loops.Wait()
}

// serveReplica passes messages of other replicas to the one of this instance.
func (c *Cell) serveReplica(w http.ResponseWriter, r *http.Request) {
	folder := c.folder.Load()
	if folder == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	folder.handler.ServeHTTP(w, r)
}
