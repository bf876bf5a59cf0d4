package voter

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus"
	"github.com/egretmux/egretmux/internal/settings"
)

// askFunc asks another voter what its data folder holds and what it remembers
// of this replica.
type askFunc func(ctx context.Context, other settings.Voter) (*egretmuxv1.ProbeResponse, error)

// answer is a voter's reply to a probe.
type answer struct {
	voter settings.Voter
	probe *egretmuxv1.ProbeResponse
	err   error
}

// coordinates reports whether this instance forms a new cell: the first voter does.
func (v *Voter) coordinates() bool { return v.settings.Voters[0].Instance == v.settings.Instance }

// formOrJoin returns when every configured voter is there and empty, after
// writing the first membership, or as soon as one of them holds state, which
// this replica then joins. While a voter does not answer it may hold state, so
// no cell is formed without it.
func (v *Voter) formOrJoin(ctx context.Context) error {
	told := make(map[string]string)
	for ctx.Err() == nil {
		answers := v.askOthers(ctx)
		for _, a := range answers {
			if a.err == nil && !a.probe.GetEmpty() {
				v.logger.Info().Str("event", "cell_exists").Str("voter", a.voter.Instance).Msg("")
				return nil
			}
		}
		members, ready := v.membersOf(answers, told)
		if ready {
			return v.form(members)
		}
		select {
		case <-ctx.Done():
		case <-time.After(probePause):
		}
	}
	return ctx.Err()
}

// membersOf returns the first membership, and whether every voter agrees to
// it. A reason against it is logged once for each voter.
func (v *Voter) membersOf(answers []answer, told map[string]string) (*egretmuxv1.Membership, bool) {
	members := &egretmuxv1.Membership{Replicas: []*egretmuxv1.Replica{v.replica()}}
	ready := true
	for _, a := range answers {
		reason := ""
		switch {
		case a.err != nil:
			reason = a.err.Error()
		case !slices.Equal(a.probe.GetVoters(), v.voterAddresses()):
			reason = "its settings name other voters; give every instance the same [cell] voters"
		}
		if reason != "" {
			ready = false
			if told[a.voter.Instance] != reason {
				v.logger.Warn().Str("event", "waiting_for_voter").Str("voter", a.voter.Instance).Str("cause", reason).Msg("")
			}
			told[a.voter.Instance] = reason
			continue
		}
		members.Replicas = append(members.Replicas, &egretmuxv1.Replica{Id: a.probe.GetReplica(), Instance: a.voter.Instance, Address: a.voter.Address})
	}
	return members, ready
}

func (v *Voter) voterAddresses() []string {
	var out []string
	for _, o := range v.settings.Voters {
		out = append(out, o.Address)
	}
	return out
}

// form writes the first entry of a new cell.
func (v *Voter) form(members *egretmuxv1.Membership) error {
	if err := consensus.Bootstrap(v.log, v.recovered, members); err != nil {
		return err
	}
	v.mu.Lock()
	v.empty = false
	v.mu.Unlock()
	v.logger.Info().Str("event", "cell_formed").Int("voters", len(members.GetReplicas())).Msg("")
	return nil
}

// askOthers probes the other voters at the same time.
func (v *Voter) askOthers(ctx context.Context) []answer {
	var answers []answer
	for _, o := range v.settings.Voters {
		if o.Instance != v.settings.Instance {
			answers = append(answers, answer{voter: o})
		}
	}
	var asked sync.WaitGroup
	for i := range answers {
		asked.Go(func() { answers[i].probe, answers[i].err = v.ask(ctx, answers[i].voter) })
	}
	asked.Wait()
	return answers
}

func (v *Voter) probe(ctx context.Context, other settings.Voter) (*egretmuxv1.ProbeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := v.dialer.Clients(other.Address).Consensus.Probe(ctx, connect.NewRequest(&egretmuxv1.ProbeRequest{
		Instance: v.settings.Instance, Replica: v.id, Voters: v.voterAddresses(),
	}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// forgot reports whether another voter remembers more of this replica than its
// data folder holds, as after a restored backup. Voters that do not answer, or
// were restarted since, cannot tell.
func (v *Voter) forgot(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, forgotTimeout)
	defer cancel()
	for _, a := range v.askOthers(ctx) {
		if a.err != nil {
			continue
		}
		promised := consensus.Promise{Term: a.probe.GetKnownTerm(), Index: a.probe.GetKnownIndex(), Vote: a.probe.GetKnownVote()}
		if promised.Exceeds(v.recovered) {
			return true
		}
	}
	return false
}
