package discovery

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

func TestSearchForTheLeaderNamesItsReason(t *testing.T) {
	for _, c := range []struct {
		name, leader, reason string
		answers              bool
	}{
		{name: "no answers", reason: NobodyAnswers},
		{name: "answers without a leader", answers: true, reason: NobodyNamed},
		{name: "answers that name a silent leader", answers: true, leader: "old", reason: LeaderSilent},
		// Guards against an instance that came back with an empty disk, is still named as
		// the leader by the others and waits without a trace in its log.
		{name: "answers that name this instance", answers: true, leader: "self", reason: ItselfNamed},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(1_700_000_000, 0)
			d := New(func() *egretmuxv1.Member { return &egretmuxv1.Member{Address: "self"} }, []string{"seed"}, rand.New(rand.NewPCG(1, 1)), start)
			age, reason := d.Search(start)
			require.Zero(t, age)
			require.Empty(t, reason)
			now, asked := start, 0
			for ; now.Before(start.Add(4 * time.Second)); now = now.Add(10 * time.Millisecond) {
				calls, _ := d.Calls(now)
				for _, call := range calls {
					if call.Address == "seed" {
						asked++
					}
					if c.answers && call.Address == "seed" {
						d.Answered(call, &egretmuxv1.AnnounceMemberResponse{Leader: c.leader, LeaderTerm: 2, Formed: true}, now, now)
					} else {
						d.Failed(call, now)
					}
				}
			}
			require.Greater(t, asked, 3, "it must ask on")
			age, reason = d.Search(now)
			require.Equal(t, 4*time.Second, age)
			require.Equal(t, c.reason, reason)
			d.Answered(Call{Address: "new", Announce: &egretmuxv1.AnnounceMemberRequest{}}, &egretmuxv1.AnnounceMemberResponse{Leader: "new", LeaderTerm: 3}, now, now)
			age, reason = d.Search(now)
			require.Zero(t, age)
			require.Empty(t, reason)
		})
	}
}

func TestInstanceThatLeadsDoesNotLookForTheLeader(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	d := New(func() *egretmuxv1.Member { return &egretmuxv1.Member{Address: "self"} }, []string{"seed"}, rand.New(rand.NewPCG(1, 1)), now)
	d.Calls(now)
	now = now.Add(time.Second)
	age, _ := d.Search(now)
	require.Equal(t, time.Second, age)
	d.SetLocal(Local{Leads: true, Leader: "self", Term: 1}, now)
	age, _ = d.Search(now)
	require.Zero(t, age)
}
