package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/job"
)

// Load: two customers submit one id to a public queue at once, while the operator sends a
// configuration.
func TestJobOfAPublicQueueStaysOpenWhenACatalogueIsPutDuringTheCall(t *testing.T) {
	book := job.NewBook()
	apply := func(cmd *egretmuxv1.JobCommand) {
		data, err := proto.Marshal(cmd)
		require.NoError(t, err)
		require.IsType(t, job.Result{}, book.Apply(1, data))
	}
	putCatalogue := func(version uint64, host string) {
		apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_PutCatalogue{PutCatalogue: &egretmuxv1.PutCatalogue{Catalogue: &egretmuxv1.Catalogue{
			Version: version, CredentialsRequired: true, Pools: []*egretmuxv1.Pool{{Name: "p"}},
			Queues: []*egretmuxv1.Queue{
				{Name: "open", Host: host, Prefix: "/open/", Service: "p", TimeoutMs: 1000, Public: true},
				{Name: "closed", Host: host, Prefix: "/closed/", Service: "p", TimeoutMs: 1000},
			},
		}}}})
	}
	const inOpen, inClosed = "00000000000000aa", "00000000000000bb"
	putCatalogue(1, "h")
	call := func(id string) access {
		a, err := decideAccess(book, &egretmuxv1.JobCall{Address: &egretmuxv1.QueueAddress{Host: "h", Path: "/open/" + id}})
		require.NoError(t, err)
		return a
	}
	toOpen, toClosed := call(inOpen), call(inClosed)
	for id, prefix := range map[string]string{inOpen: "/open/", inClosed: "/closed/"} {
		apply(&egretmuxv1.JobCommand{Command: &egretmuxv1.JobCommand_Submit{Submit: &egretmuxv1.SubmitJob{Job: &egretmuxv1.Job{
			Id: id, Customer: "a", Host: "h", Prefix: prefix, Steps: []*egretmuxv1.JobStep{{Count: 1}},
		}}}})
	}
	for version, host := range []string{"h", "h", "H"} {
		putCatalogue(uint64(version+1), host)
		require.True(t, toOpen.ownsJob(book, book.Catalogue()), "version %d", version+1)
		require.False(t, toClosed.ownsJob(book, book.Catalogue()), "version %d", version+1)
	}
}
