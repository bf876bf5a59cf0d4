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

// probeFunc asks another voter whether its data folder is empty and which state it
// knows this replica to have promised.
type probeFunc func(ctx context.Context, other settings.Voter) (*egretmuxv1.ProbeResponse, error)

// probeResult is the outcome of probing one voter.
type probeResult struct {
	voter    settings.Voter
	response *egretmuxv1.ProbeResponse
	err      error
}

// isCoordinator reports whether this instance forms a new cell, as the first
// voter does.
func (v *Voter) isCoordinator() bool { return v.settings.Voters[0].Instance == v.settings.Instance }

// formOrJoin waits until every configured voter answers and is empty, and then
// writes the first membership. As soon as one of them holds state, it returns
// without writing, and this replica joins that cell. A voter that does not answer
// may hold state, so no cell is formed without it.
func (v *Voter) formOrJoin(ctx context.Context) error {
	loggedReasons := make(map[string]string)
	for ctx.Err() == nil {
		results := v.probeOthers(ctx)
		for _, result := range results {
			if result.err == nil && !result.response.GetEmpty() {
				v.logger.Info().Str("event", "cell_exists").Str("voter", result.voter.Instance).Msg("another voter holds state; joining its cell")
				return nil
			}
		}
		members, ready := v.firstMembership(results, loggedReasons)
		if ready {
			return v.bootstrap(members)
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
	return ctx.Err()
}

// firstMembership returns the first membership and whether every voter is ready for
// it. The reason why a voter is not ready is logged once, until it changes.
func (v *Voter) firstMembership(results []probeResult, loggedReasons map[string]string) (*egretmuxv1.Membership, bool) {
	members := &egretmuxv1.Membership{Replicas: []*egretmuxv1.Replica{v.replica()}}
	ready := true
	for _, result := range results {
		reason := ""
		switch {
		case result.err != nil:
			reason = result.err.Error()
		case !slices.Equal(result.response.GetVoters(), v.voterAddresses()):
			reason = "its settings name other voters; give every instance the same [cell] voters"
		}
		if reason != "" {
			ready = false
			if loggedReasons[result.voter.Instance] != reason {
				v.logger.Warn().Str("event", "waiting_for_voter").Str("voter", result.voter.Instance).Str("cause", reason).Msg("waiting for a voter before forming a cell")
			}
			loggedReasons[result.voter.Instance] = reason
			continue
		}
		members.Replicas = append(members.Replicas, &egretmuxv1.Replica{Id: result.response.GetReplica(), Instance: result.voter.Instance, Address: result.voter.Address})
	}
	return members, ready
}

func (v *Voter) voterAddresses() []string {
	var addresses []string
	for _, other := range v.settings.Voters {
		addresses = append(addresses, other.Address)
	}
	return addresses
}

// bootstrap writes the first entry of a new cell.
func (v *Voter) bootstrap(members *egretmuxv1.Membership) error {
	if err := consensus.Bootstrap(v.log, v.recovered, members); err != nil {
		return err
	}
	v.mu.Lock()
	v.empty = false
	v.mu.Unlock()
	v.logger.Info().Str("event", "cell_formed").Int("voters", len(members.GetReplicas())).Msg("formed a new cell")
	return nil
}

// probeOthers probes the other voters in parallel.
func (v *Voter) probeOthers(ctx context.Context) []probeResult {
	var results []probeResult
	for _, other := range v.settings.Voters {
		if other.Instance != v.settings.Instance {
			results = append(results, probeResult{voter: other})
		}
	}
	var probes sync.WaitGroup
	for i := range results {
		probes.Go(func() { results[i].response, results[i].err = v.probeVoter(ctx, results[i].voter) })
	}
	probes.Wait()
	return results
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

// isDataFolderStale reports whether another voter knows of newer state of this
// replica than its data folder holds, as after a restored backup. Voters that do
// not answer, or were restarted since, cannot tell.
func (v *Voter) isDataFolderStale(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, staleCheckTimeout)
	defer cancel()
	for _, result := range v.probeOthers(ctx) {
		if result.err != nil {
			continue
		}
		promised := consensus.Promise{Term: result.response.GetKnownTerm(), Index: result.response.GetKnownIndex(), Vote: result.response.GetKnownVote()}
		if promised.Exceeds(v.recovered) {
			return true
		}
	}
	return false
}
