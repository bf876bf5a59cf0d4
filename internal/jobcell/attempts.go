package jobcell

import (
	"net/http"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/refusal"
)

// attempts is what the attempts of one call tell about its outcome.
type attempts struct {
	call    *egretmuxv1.JobCall
	unknown *refusal.Error // the latest attempt that may have been executed; nil if none
}

// settle reports whether the result of an attempt ends the call, and with what. A success
// does. So does a client error (4xx), since the leader would refuse the call again, but
// for a lack of capacity (429) after an attempt that may have been executed: the next
// attempt may find that one stored. A withdrawn job is not accepted by any attempt.
func (a *attempts) settle(answer *egretmuxv1.JobAnswer, err error) (final bool, _ *egretmuxv1.JobAnswer, _ error) {
	if err == nil {
		if answer.GetNoQueue() && a.changedUnknown() {
			return true, nil, refusal.NewUnknown(refusal.NotFound, "send it again", "there is no such queue now, and an earlier attempt may have been executed")
		}
		return true, answer, nil
	}
	refused := refusal.Of(err)
	status := refused.Kind.HTTPStatus()
	if status >= http.StatusInternalServerError && refused.Kind != refusal.JobWithdrawn || (status == http.StatusTooManyRequests && a.unknown != nil) {
		a.record(refused)
		return false, nil, err
	}
	if a.changedUnknown() && refused.Ran == refusal.No {
		return true, nil, refusal.NewUnknown(refused.Kind, "send it again", "refused now, but an earlier attempt may have been executed").WithCause(refused)
	}
	return true, nil, err
}

// record notes the error of an attempt.
func (a *attempts) record(refused *refusal.Error) {
	if refused.Ran == refusal.Unknown {
		a.unknown = refused
	}
}

// changedUnknown reports whether an attempt may have changed something. What the leader
// then says of a later attempt tells nothing of it: meanwhile the credential or the queue
// may have been withdrawn.
func (a *attempts) changedUnknown() bool {
	return a.unknown != nil && a.call.GetVerb() != egretmuxv1.JobVerb_JOB_VERB_SHOW
}
