package leader

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// attachment is an endpoint and the entries that hear it: an entry hears an
// endpoint while it receives the endpoint's announcements.
type attachment struct {
	report  *egretmuxv1.EndpointReport
	heardBy map[string]bool // by entry
}

// attachments records which endpoints announce themselves through which entries.
// Entries report an endpoint only when its announcement changes or stops.
type attachments struct {
	byID    map[string]*attachment
	byEntry map[string]map[string]bool // ids of the endpoints that each entry hears
}

func newAttachments() *attachments {
	return &attachments{byID: make(map[string]*attachment), byEntry: make(map[string]map[string]bool)}
}

// announce records an endpoint's report received through an entry and returns the
// report in effect, or nil if the endpoint has restarted since. An endpoint that
// has reported that it is leaving stays so until it restarts.
func (a *attachments) announce(entry string, e *egretmuxv1.EndpointReport) *egretmuxv1.EndpointReport {
	current := a.byID[e.GetId()]
	switch {
	case current == nil || e.GetEpoch() > current.report.GetEpoch():
		a.detachEndpoint(e.GetId())
		current = &attachment{report: e, heardBy: make(map[string]bool)}
		a.byID[e.GetId()] = current
	case e.GetEpoch() < current.report.GetEpoch():
		return nil
	case e.GetLeaving() || !current.report.GetLeaving():
		current.report = e
	}
	current.heardBy[entry] = true
	if a.byEntry[entry] == nil {
		a.byEntry[entry] = make(map[string]bool)
	}
	a.byEntry[entry][e.GetId()] = true
	return current.report
}

// markSilent records that an entry no longer hears an endpoint. It returns the
// endpoint's last report if no other entry hears it either.
func (a *attachments) markSilent(entry, id string) *egretmuxv1.EndpointReport {
	current := a.byID[id]
	if current == nil || !current.heardBy[entry] {
		return nil
	}
	delete(current.heardBy, entry)
	delete(a.byEntry[entry], id)
	if len(current.heardBy) > 0 {
		return nil
	}
	delete(a.byID, id)
	return current.report
}

// removeEntry removes an entry and what it hears.
func (a *attachments) removeEntry(entry string) {
	for id := range a.byEntry[entry] {
		a.markSilent(entry, id)
	}
	delete(a.byEntry, entry)
}

// detachEndpoint removes an endpoint from the sets of all entries that hear it.
func (a *attachments) detachEndpoint(id string) {
	if current := a.byID[id]; current != nil {
		for entry := range current.heardBy {
			delete(a.byEntry[entry], id)
		}
	}
}

// reportsHeardBy returns the reports of the endpoints that an entry hears.
func (a *attachments) reportsHeardBy(entry string) []*egretmuxv1.EndpointReport {
	out := make([]*egretmuxv1.EndpointReport, 0, len(a.byEntry[entry]))
	for id := range a.byEntry[entry] {
		out = append(out, a.byID[id].report)
	}
	return out
}

// heardButNotListed returns the endpoints that an entry heard until now and that
// its complete list lacks.
func (a *attachments) heardButNotListed(entry string, complete []*egretmuxv1.EndpointReport) []string {
	listed := make(map[string]bool, len(complete))
	for _, e := range complete {
		listed[e.GetId()] = true
	}
	var out []string
	for id := range a.byEntry[entry] {
		if !listed[id] {
			out = append(out, id)
		}
	}
	return out
}
