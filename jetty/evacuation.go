package jetty

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// evacuationMargin is the part of the bound of an evacuation in which the servers get no
// requests any more, not even for the keys that they own. It covers the way of a request
// from the last look at the evacuations to the server, and of the store's answers to this
// host.
const evacuationMargin = time.Second

// evacuation is what this host knows of the evacuation of a failure domain.
type evacuation struct {
	// learnedAt is when this host has read the key.
	learnedAt time.Time
	// ownersUntil is until when the servers get requests for the keys that they own, or 0
	// if they get none. It counts from the last contact with the store before the key was
	// read: the key was not there then.
	ownersUntil mooring.Instant
}

// ownersUntil returns the evacuated failure domains, and until when their servers get
// requests for the keys that they own.
func (s *clusterState) ownersUntil() sluice.Evacuations {
	until := make(sluice.Evacuations)
	for domain, e := range s.currentEvacuations() {
		until[domain] = e.ownersUntil
	}
	return until
}

// evacuates reports whether a request must not be sent to a server any more, since its
// failure domain is evacuated. It goes by what admission knows, so that a request that is
// offered for admission again is not admitted to such a server again.
func (f *forwarder) evacuates(s fairway.Endpoint, r *request) bool {
	if f.admissions == nil {
		return false
	}
	adm := f.admissions.get(r.service, f.clusterState.catalog())
	adm.mu.Lock()
	defer adm.mu.Unlock()
	return adm.controller.Evacuates(monotonicNow(), s.Domain, r.key != nil)
}

// updateEvacuations applies what changes say of evacuations, the last of which counts for
// each failure domain. It reports whether one has begun or ended.
func (w *watcher) updateEvacuations(told map[fairway.Domain]bool) bool {
	current := w.clusterState.currentEvacuations()
	next := maps.Clone(current)
	if next == nil {
		next = make(map[fairway.Domain]evacuation)
	}
	for domain, evacuated := range told {
		if _, known := current[domain]; evacuated && !known {
			next[domain] = w.newEvacuation()
		} else if !evacuated {
			delete(next, domain)
		}
	}
	return w.replaceEvacuations(next)
}

// retainEvacuations ends the evacuations whose keys are not among all entries of the store.
func (w *watcher) retainEvacuations(entries []ledger.Entry) {
	listed := make(map[fairway.Domain]bool)
	for _, e := range entries {
		if record, ok := w.decode(ledger.Change{Entry: e}, time.Now()).(EvacuationRecord); ok {
			listed[record.Domain] = true
		}
	}
	next := maps.Clone(w.clusterState.currentEvacuations())
	maps.DeleteFunc(next, func(domain fairway.Domain, _ evacuation) bool { return !listed[domain] })
	w.replaceEvacuations(next)
}

// newEvacuation returns an evacuation whose key has just been read. A host that has just
// started does not know how old the key is.
func (w *watcher) newEvacuation() evacuation {
	e := evacuation{learnedAt: time.Now()}
	if w.initialized.Load() {
		e.ownersUntil = instantOf(w.lastContact.Add(w.evacuationBound - evacuationMargin))
	}
	return e
}

func (w *watcher) replaceEvacuations(next map[fairway.Domain]evacuation) bool {
	current := w.clusterState.currentEvacuations()
	changed := false
	for domain := range next {
		if _, known := current[domain]; !known {
			changed = true
			w.logs.evacuationBegan(domain, w.evacuationBound)
		}
	}
	for domain, e := range current {
		if _, remains := next[domain]; !remains {
			changed = true
			w.logs.evacuationEnded(domain, time.Since(e.learnedAt))
		}
	}
	if changed {
		w.clusterState.setEvacuations(next)
	}
	return changed
}

// EvacuatedDomain is an evacuated failure domain, as operators see it.
type EvacuatedDomain struct {
	Domain fairway.Domain `json:"domain"`
	// Since is when this host has read the key.
	Since time.Time `json:"since"`
	// Servers is the number of listed servers, and Requests that of requests which this host
	// has there in progress.
	Servers  int `json:"servers"`
	Requests int `json:"requests"`
}

// evacuatedDomains returns the evacuated failure domains in the order of their names.
func (h *Host) evacuatedDomains() []EvacuatedDomain {
	catalog := h.clusterState.catalog()
	inUse := h.upstream.inUse()
	domains := []EvacuatedDomain{}
	for domain, e := range h.clusterState.currentEvacuations() {
		d := EvacuatedDomain{Domain: domain, Since: e.learnedAt}
		for id, server := range catalog.All() {
			if server.Domain == domain {
				d.Servers++
				d.Requests += inUse[id]
			}
		}
		domains = append(domains, d)
	}
	slices.SortFunc(domains, func(a, b EvacuatedDomain) int { return cmp.Compare(a.Domain, b.Domain) })
	return domains
}

// logEmptied logs the evacuated failure domains whose servers have no more requests of this
// host. The map reported has those of the evacuations that it has logged.
func (h *Host) logEmptied(reported map[fairway.Domain]time.Time) {
	domains := h.evacuatedDomains()
	maps.DeleteFunc(reported, func(domain fairway.Domain, _ time.Time) bool {
		return !slices.ContainsFunc(domains, func(d EvacuatedDomain) bool { return d.Domain == domain })
	})
	now := monotonicNow()
	for _, d := range domains {
		until := h.clusterState.currentEvacuations()[d.Domain].ownersUntil
		if d.Requests == 0 && now >= until && !reported[d.Domain].Equal(d.Since) {
			reported[d.Domain] = d.Since
			h.logs.evacuationEmpty(d.Domain, time.Since(d.Since))
		}
	}
}
