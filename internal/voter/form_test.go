package voter

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/core"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/settings"
)

// startTimeout bounds the start of a voter, in virtual time.
const startTimeout = time.Minute

// fakeVoters answers probes. Each voter gives its scripted answers in order and
// repeats the last one.
type fakeVoters struct {
	mu      sync.Mutex
	scripts map[string][]string // by instance
}

func (f *fakeVoters) next(instance string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	script := f.scripts[instance]
	if len(script) > 1 {
		f.scripts[instance] = script[1:]
	}
	return script[0]
}

func (f *fakeVoters) probe(v *Voter, other settings.Voter) (*egretmuxv1.ProbeResponse, error) {
	kind := f.next(other.Instance)
	resp := &egretmuxv1.ProbeResponse{Instance: other.Instance, Replica: 77, Empty: true, Voters: v.voterAddresses()}
	switch kind {
	case "empty":
	case "state":
		resp.Empty = false
	case "other-voters":
		resp.Voters = []string{"127.0.0.9:1"}
	default:
		return nil, errors.New(kind)
	}
	return resp, nil
}

// parsePromise parses what a voter knows of the replica, like term:5,index:20,vote:9.
func parsePromise(text string) (*egretmuxv1.ProbeResponse, error) {
	if text == "down" {
		return nil, errors.New(text)
	}
	resp := &egretmuxv1.ProbeResponse{}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(part, ":")
		n, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			return nil, err
		}
		switch name {
		case "term":
			resp.KnownTerm = n
		case "index":
			resp.KnownIndex = n
		case "vote":
			resp.KnownVote = n
			resp.KnownTerm = max(resp.KnownTerm, 5)
		}
	}
	return resp, nil
}

func openTestVoter(t *testing.T, self string) *Voter {
	t.Helper()
	s := &settings.Settings{Instance: self, DataFolder: t.TempDir(), Tick: time.Hour, ElectionTicks: 10, HeartbeatTicks: 1, SnapshotEntries: 100}
	for i := range 3 {
		s.Voters = append(s.Voters, settings.Voter{Instance: fmt.Sprintf("i%d", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1)})
	}
	dialer, err := peer.NewDialer("", "")
	require.NoError(t, err)
	v, err := Open(s, dialer, zerolog.Nop())
	require.NoError(t, err)
	return v
}

func TestFormation(t *testing.T) {
	datadriven.RunTest(t, "testdata/formation", func(t *testing.T, d *datadriven.TestData) string {
		var out string
		synctest.Test(t, func(t *testing.T) {
			if d.Cmd == "start" {
				out = startEmptyVoter(t, d)
			} else {
				out = restartVoter(t, d)
			}
		})
		return out + "\n"
	})
}

// startEmptyVoter starts a voter with an empty disk.
func startEmptyVoter(t *testing.T, d *datadriven.TestData) string {
	var self string
	d.ScanArgs(t, "self", &self)
	v := openTestVoter(t, self)
	defer func() { require.NoError(t, v.Close()) }()
	voters := &fakeVoters{scripts: make(map[string][]string)}
	for _, arg := range d.CmdArgs {
		voters.scripts[arg.Key] = arg.Vals
		if len(arg.Vals) == 1 {
			voters.scripts[arg.Key] = strings.Split(arg.Vals[0], ",")
		}
	}
	v.probeVoter = func(_ context.Context, other settings.Voter) (*egretmuxv1.ProbeResponse, error) {
		return voters.probe(v, other)
	}
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	node, err := v.Start(ctx, &counter{}, nil)
	if err != nil {
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.True(t, v.empty, "nothing is written while waiting")
		return "waits"
	}
	status, _ := node.Status()
	if status.Last == 0 {
		return "empty, joins"
	}
	return fmt.Sprintf("formed with %d voters", len(status.Membership.GetReplicas()))
}

// restartVoter starts a voter whose disk holds state.
func restartVoter(t *testing.T, d *datadriven.TestData) string {
	var self string
	var term, vote uint64
	var last int
	d.ScanArgs(t, "self", &self)
	d.ScanArgs(t, "term", &term)
	d.ScanArgs(t, "vote", &vote)
	d.ScanArgs(t, "last", &last)
	v := openTestVoter(t, self)
	defer func() { require.NoError(t, v.Close()) }()
	hard := &egretmuxv1.HardState{Term: term, Vote: vote}
	var entries []*egretmuxv1.Entry
	for i := range last {
		entries = append(entries, &egretmuxv1.Entry{Index: uint64(i + 1), Term: term, Kind: egretmuxv1.EntryKind_ENTRY_KIND_COMMAND})
	}
	require.NoError(t, v.log.Append(hard, entries))
	v.recovered.HardState, v.recovered.Entries = hard, entries
	old := v.id
	v.probeVoter = func(_ context.Context, other settings.Voter) (*egretmuxv1.ProbeResponse, error) {
		var text string
		for _, arg := range d.CmdArgs {
			if arg.Key == other.Instance {
				text = strings.Join(arg.Vals, ",")
			}
		}
		if text == "" || v.id != old {
			return &egretmuxv1.ProbeResponse{Empty: false}, nil
		}
		return parsePromise(text)
	}
	node, err := v.Start(t.Context(), &counter{}, nil)
	require.NoError(t, err)
	status, _ := node.Status()
	require.Equal(t, core.Follower, status.Role)
	if status.ID == old {
		require.Equal(t, uint64(last), status.Last)
		return "continues"
	}
	require.Zero(t, status.Last)
	require.Zero(t, status.Term)
	return "set aside, new identity, joins"
}

func TestJoinIsDoneWhenTheInstanceHasOneVoterAtItsAddress(t *testing.T) {
	self := &egretmuxv1.Replica{Id: 1, Instance: "i1", Address: "a"}
	other := &egretmuxv1.Replica{Id: 2, Instance: "i2", Address: "b"}
	for name, c := range map[string]struct {
		members []*egretmuxv1.Replica
		done    bool
	}{
		"voter":              {[]*egretmuxv1.Replica{self, other}, true},
		"not there":          {[]*egretmuxv1.Replica{other}, false},
		"learner":            {[]*egretmuxv1.Replica{{Id: 1, Instance: "i1", Address: "a", Learner: true}, other}, false},
		"other address":      {[]*egretmuxv1.Replica{{Id: 1, Instance: "i1", Address: "c"}, other}, false},
		"beside the old one": {[]*egretmuxv1.Replica{{Id: 9, Instance: "i1", Address: "a"}, self, other}, false},
	} {
		require.Equal(t, c.done, isMember(&egretmuxv1.Membership{Replicas: c.members}, self), name)
	}
}
