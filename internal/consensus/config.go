package consensus

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/wal"
)

// StateMachine executes the commands of the log. Apply and Restore are called by
// one goroutine, in log order.
type StateMachine interface {
	// Apply executes a command and returns its result for the proposer.
	Apply(index uint64, command []byte) any
	// Capture returns a function that writes the current state. Capture blocks
	// the replica and must be fast; the function runs concurrently with later
	// calls of Apply.
	Capture() func(io.Writer) error
	// Restore replaces the state with a captured one.
	Restore(data []byte) error
}

// Transport sends messages to other replicas. Send must not block; it may drop
// messages.
type Transport interface {
	Send(to *egretmuxv1.Replica, messages []*egretmuxv1.Message)
}

// Errors of a Node.
var (
	ErrNotLeader      = errors.New("this instance does not lead; ask the leader")
	ErrOutcomeUnknown = errors.New("leadership was lost before the outcome was known; resend with the same change id")
	ErrStopped        = errors.New("the replica has stopped; see its log for the cause")
	ErrStale          = errors.New("the data folder is older than what this replica has acknowledged to the others; move it away and restart: the instance rejoins with a new identity")
)

// Config holds the dependencies and parameters of a Node.
type Config struct {
	ID              uint64
	Log             *wal.Log
	Recovered       *wal.Recovered
	Machine         StateMachine
	Transport       Transport
	Tick            time.Duration
	ElectionTicks   int
	HeartbeatTicks  int
	SnapshotEntries uint64          // entries between two snapshots
	SnapshotBytes   int             // command bytes between two snapshots; zero means DefaultSnapshotBytes
	KeptEntries     uint64          // entries kept for slow replicas after a snapshot covers them; zero means DefaultKeptEntries
	ChunkBytes      int             // snapshot bytes in one message; zero means DefaultChunkBytes
	Rand            func(n int) int // uniform in [0, n); nil means math/rand
	Logger          zerolog.Logger
	OnFailure       func(error) // called once when a failure stops the replica
}

const (
	proposalQueueLength = 4096     // proposals that the loop has not accepted yet
	maxBatch            = 1024     // proposals or reads per batch, and further events per iteration of the loop
	maxPendingProposals = 16384    // proposals not yet committed and applied
	maxPendingBytes     = 32 << 20 // command bytes of these proposals
	messageQueueLength  = 1024
	coreCallQueueLength = 64
	readQueueLength     = 4096
)

// Defaults of Config.
const (
	DefaultSnapshotBytes = 32 << 20
	DefaultKeptEntries   = 5000
	DefaultChunkBytes    = 256 << 10
)

func (c *Config) setDefaults() {
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
	if c.KeptEntries == 0 {
		c.KeptEntries = DefaultKeptEntries
	}
	if c.ChunkBytes == 0 {
		c.ChunkBytes = DefaultChunkBytes
	}
	if c.Rand == nil {
		c.Rand = rand.IntN
	}
}
