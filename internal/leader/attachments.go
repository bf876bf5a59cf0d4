package leader

import (
	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// attachment is an endpoint with the entries that hear its announcements.
type attachment struct {
	report *egretmuxv1.EndpointReport
	heard  map[string]bool // by entry
}

// attachments tells which endpoints announce themselves through which entries.
// Entries report an endpoint only when its announcement changes or stops.
type attachments struct {
	byID    map[string]*attachment
	byEntry map[string]map[string]bool // endpoints that an entry hears
}

func newAttachments() *attachments {
	return &attachments{byID: make(map[string]*attachment), byEntry: make(map[string]map[string]bool)}
}

// announce takes in a report through an entry and returns the one to go by,
// nil when the endpoint has been started anew since. An endpoint that said
// that it is leaving stays so until it is started anew.
func (a *attachments) announce(entry string, e *egretmuxv1.EndpointReport) *egretmuxv1.EndpointReport {
	x := a.byID[e.GetId()]
	switch {
	case x == nil || e.GetEpoch() > x.report.GetEpoch():
		a.forget(e.GetId())
		x = &attachment{report: e, heard: make(map[string]bool)}
		a.byID[e.GetId()] = x
	case e.GetEpoch() < x.report.GetEpoch():
		return nil
	case e.GetLeaving() || !x.report.GetLeaving():
		x.report = e
	}
	x.heard[entry] = true
	if a.byEntry[entry] == nil {
		a.byEntry[entry] = make(map[string]bool)
	}
	a.byEntry[entry][e.GetId()] = true
	return x.report
}

// silent notes that an entry no longer hears an endpoint. It returns the
// endpoint's last report when no other entry hears it either.
func (a *attachments) silent(entry, id string) *egretmuxv1.EndpointReport {
	x := a.byID[id]
	if x == nil || !x.heard[entry] {
		return nil
	}
	delete(x.heard, entry)
	delete(a.byEntry[entry], id)
	if len(x.heard) > 0 {
		return nil
	}
	delete(a.byID, id)
	return x.report
}

// drop forgets what an entry hears.
func (a *attachments) drop(entry string) {
	for id := range a.byEntry[entry] {
		a.silent(entry, id)
	}
	delete(a.byEntry, entry)
}

func (a *attachments) forget(id string) {
	if x := a.byID[id]; x != nil {
		for entry := range x.heard {
			delete(a.byEntry[entry], id)
		}
	}
}

// heardBy returns the reports of the endpoints that an entry hears.
func (a *attachments) heardBy(entry string) []*egretmuxv1.EndpointReport {
	out := make([]*egretmuxv1.EndpointReport, 0, len(a.byEntry[entry]))
	for id := range a.byEntry[entry] {
		out = append(out, a.byID[id].report)
	}
	return out
}

// unheard returns the endpoints that an entry heard and that are not in the
// complete list it gives now.
func (a *attachments) unheard(entry string, complete []*egretmuxv1.EndpointReport) []string {
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
