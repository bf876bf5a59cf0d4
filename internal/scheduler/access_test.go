package scheduler_test

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/scheduler"
)

const (
	publicPath = "/public/00000000000000cc"
	submitVerb = egretmuxv1.JobVerb_JOB_VERB_SUBMIT
	showVerb   = egretmuxv1.JobVerb_JOB_VERB_SHOW
	cancelVerb = egretmuxv1.JobVerb_JOB_VERB_CANCEL
)

// customersCatalogue has the customers a and b, and a public queue beside the other one.
func customersCatalogue(version uint64, keysOfA ...string) *egretmuxv1.Catalogue {
	c := catalogue(version, "text")
	c.CredentialsRequired = true
	c.Queues = append(c.Queues, &egretmuxv1.Queue{Name: "open", Host: "h", Prefix: "/public/", Service: "p", TimeoutMs: 1000, Attempts: 2, Public: true})
	a := &egretmuxv1.Customer{Name: "a"}
	for _, key := range keysOfA {
		a.CredentialSha256 = append(a.CredentialSha256, job.HashCredential(key))
	}
	c.Customers = []*egretmuxv1.Customer{a, {Name: "b", CredentialSha256: [][]byte{job.HashCredential("key-b")}}, {Name: "keyless"}}
	return c
}

// keyCall returns a call with a key, or without one if it is empty.
func keyCall(verb egretmuxv1.JobVerb, path, key string) *egretmuxv1.JobCall {
	call := &egretmuxv1.JobCall{Address: address(path), Verb: verb}
	if verb == submitVerb {
		call.Job = &egretmuxv1.Job{Customer: "forged", Steps: []*egretmuxv1.JobStep{{Count: 1}}}
	}
	if key != "" {
		call.CredentialSha256 = job.HashCredential(key)
	}
	return call
}

// outcome makes a call and names what came of it.
func outcome(ctx context.Context, s *scheduler.Scheduler, call *egretmuxv1.JobCall) string {
	var answer *egretmuxv1.JobAnswer
	err := untilNotShed(func() (err error) {
		answer, err = s.CallJob(ctx, call)
		return err
	})
	switch {
	case err != nil:
		return string(refusal.Of(err).Kind)
	case answer.GetNoQueue():
		return "no queue"
	case answer.GetFound():
		return "found"
	}
	return "unknown job"
}

func startLeaderWith(t *testing.T, c *egretmuxv1.Catalogue) *scheduler.Scheduler {
	t.Helper()
	s := startLeader(t, &fakeWorkers{})
	_, err := s.PutCatalogue(t.Context(), c)
	require.NoError(t, err)
	return s
}

func TestCallIsCheckedForItsQueueThenItsKeyThenTheOwnerOfTheJob(t *testing.T) {
	s := startLeaderWith(t, customersCatalogue(1, "key-a", "key-a2"))
	const unauthenticated, forbidden = string(refusal.Unauthenticated), string(refusal.Forbidden)
	for _, step := range []struct {
		verb      egretmuxv1.JobVerb
		path, key string
		want      string
	}{
		{submitVerb, "/none/00000000000000aa", "never held", "no queue"},
		{showVerb, "/none/", "", "no queue"},
		{cancelVerb, "/none/00000000000000aa", "key-a", "no queue"},

		{submitVerb, jobPath, "", unauthenticated},
		{submitVerb, jobPath, "never held", unauthenticated},
		{showVerb, jobPath, "never held", unauthenticated},
		{cancelVerb, jobPath, "", unauthenticated},
		{showVerb, "/q/", "", unauthenticated},
		{showVerb, "/q/", "key-b", "found"},
		{submitVerb, "/q/short", "never held", unauthenticated},
		{submitVerb, "/q/short", "key-a", string(refusal.Invalid)},
		{showVerb, jobPath, "key-a", "unknown job"},

		{submitVerb, jobPath, "key-a", "found"},
		{submitVerb, jobPath, "key-a2", "found"},
		{submitVerb, jobPath, "key-b", forbidden},
		{showVerb, jobPath, "key-b", forbidden},
		{cancelVerb, jobPath, "key-b", forbidden},
		{showVerb, jobPath, "", unauthenticated},
		{showVerb, jobPath, "key-a2", "found"},
		{showVerb, "/public/00000000000000aa", "", forbidden},
		{cancelVerb, "/public/00000000000000aa", "key-b", forbidden},
		{submitVerb, "/public/00000000000000aa", "", forbidden},
		{cancelVerb, jobPath, "key-a", "found"},
		{showVerb, jobPath, "key-b", forbidden}, // also once it has ended

		{submitVerb, publicPath, "key-a", "found"},
		{submitVerb, publicPath, "never held", "found"},
		{showVerb, publicPath, "", "found"},
		{showVerb, "/public/", "", "found"},
		{showVerb, "/q/00000000000000cc", "key-b", forbidden},
		{cancelVerb, publicPath, "key-b", "found"},
		{submitVerb, "/public/00000000000000dd", "", "found"},
		{showVerb, "/q/00000000000000dd", "key-b", "found"}, // it came without a customer
	} {
		got := outcome(t.Context(), s, keyCall(step.verb, step.path, step.key))
		require.Equal(t, step.want, got, "%v %s with key %q", step.verb, step.path, step.key)
	}
}

func TestCredentialHashOfAnotherLengthIsUnknown(t *testing.T) {
	s := startLeaderWith(t, customersCatalogue(1, "key-a"))
	for _, hash := range [][]byte{{}, {1}, job.HashCredential("key-a")[:31], append(job.HashCredential("key-a"), 1), make([]byte, 1<<20)} {
		call := keyCall(showVerb, jobPath, "")
		call.CredentialSha256 = hash
		require.Equal(t, string(refusal.Unauthenticated), outcome(t.Context(), s, call), "%d bytes", len(hash))
	}
}

func TestCatalogueWithoutCustomersNeedsNoKey(t *testing.T) {
	s := startLeaderWith(t, catalogue(1, "one"))
	require.Equal(t, "found", outcome(t.Context(), s, keyCall(submitVerb, jobPath, "")))
	require.Equal(t, "found", outcome(t.Context(), s, keyCall(showVerb, jobPath, "never held")))
	_, err := s.PutCatalogue(t.Context(), customersCatalogue(2, "key-a"))
	require.NoError(t, err)
	require.Equal(t, string(refusal.Unauthenticated), outcome(t.Context(), s, keyCall(showVerb, jobPath, "")))
	require.Equal(t, "found", outcome(t.Context(), s, keyCall(showVerb, jobPath, "key-b")), "a job without a customer is open to all")
}

// Two customers that submit the same id at the same moment must not both be told that
// the job is theirs.
func TestOneOfTwoCustomersGetsAnIDThatBothSubmit(t *testing.T) {
	s := startLeaderWith(t, customersCatalogue(1, "key-a"))
	for _, id := range []string{"00000000000000a1", "00000000000000a2", "00000000000000a3"} {
		var outcomes [2]string
		var calls sync.WaitGroup
		for i, key := range []string{"key-a", "key-b"} {
			calls.Go(func() { outcomes[i] = outcome(t.Context(), s, keyCall(submitVerb, "/q/"+id, key)) })
		}
		calls.Wait()
		require.ElementsMatch(t, []string{"found", string(refusal.Forbidden)}, outcomes[:])
	}
}

// A leader that a quorum does not confirm may hold an old catalogue. It can neither
// accept by a credential that was withdrawn, nor refuse one that was added, nor tell that
// a queue is unknown or that a job is another customer's.
func TestLeaderWithoutAQuorumNeitherAcceptsNorRefusesByItsCatalogue(t *testing.T) {
	s := startLeaderWith(t, customersCatalogue(1, "key-a"))
	require.Equal(t, "found", outcome(t.Context(), s, keyCall(submitVerb, jobPath, "key-a")))
	stallReplica(t, s)
	var calls sync.WaitGroup // at once, as long as the last confirmation counts
	for name, call := range map[string]*egretmuxv1.JobCall{
		"submit with a known key":   keyCall(submitVerb, "/q/00000000000000a1", "key-a"),
		"repeat with a known key":   keyCall(submitVerb, jobPath, "key-a"),
		"cancel with a known key":   keyCall(cancelVerb, jobPath, "key-a"),
		"show with a known key":     keyCall(showVerb, jobPath, "key-a"),
		"count with a known key":    keyCall(showVerb, "/q/", "key-a"),
		"submit with a new key":     keyCall(submitVerb, jobPath, "key-a2"),
		"show with a new key":       keyCall(showVerb, jobPath, "key-a2"),
		"cancel with a new key":     keyCall(cancelVerb, jobPath, "key-a2"),
		"key that may have moved":   keyCall(cancelVerb, jobPath, "key-b"),
		"queue that may be present": keyCall(submitVerb, "/new/00000000000000aa", "key-a"),
	} {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), callerPatience)
			defer cancel()
			_, err := s.CallJob(ctx, call)
			assert.Error(t, err, name)
			assert.Contains(t, []refusal.Kind{refusal.NoLeader, refusal.OutcomeUnknown}, refusal.Of(err).Kind, name)
		})
	}
	calls.Wait()
}

func TestWithdrawnAndAddedKeysCountFromTheAcknowledgementOn(t *testing.T) {
	s := startLeaderWith(t, customersCatalogue(1, "old", "kept"))
	require.Equal(t, "found", outcome(t.Context(), s, keyCall(submitVerb, jobPath, "old")))
	for _, c := range []*egretmuxv1.Catalogue{customersCatalogue(4, "kept", "new"), customersCatalogue(1, "old", "kept"), customersCatalogue(3, "old")} {
		_, err := s.PutCatalogue(t.Context(), c)
		require.NoError(t, err)
		require.Equal(t, "found", outcome(t.Context(), s, keyCall(showVerb, jobPath, "new")))
		require.Equal(t, "found", outcome(t.Context(), s, keyCall(showVerb, jobPath, "kept")))
		for _, verb := range []egretmuxv1.JobVerb{submitVerb, showVerb, cancelVerb} {
			require.Equal(t, string(refusal.Unauthenticated), outcome(t.Context(), s, keyCall(verb, jobPath, "old")))
		}
	}
}
