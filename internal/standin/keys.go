package standin

import (
	"net/http"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// heldGrant is a grant of a key range that expires at until.
type heldGrant struct {
	keys         platform.KeyRange
	fencingToken uint64
	until        time.Time
}

// decodeOrder decodes a grant or a release. It rejects an order that is malformed
// or addressed to another target.
func (s *Server) decodeOrder(w http.ResponseWriter, r *http.Request) (platform.Grant, bool) {
	platform.SetResponseMeta(w.Header(), s.options.Name, platform.ResponseMeta{Leaving: s.leaves()})
	g, err := platform.DecodeGrant(r.Body)
	if err != nil || !s.options.Keyed {
		http.Error(w, "malformed grant or release", http.StatusBadRequest)
		return g, false
	}
	if expected := platform.ExpectedTarget(r.Header); expected != "" && expected != s.options.Name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return g, false
	}
	return g, true
}

func overlaps(a, b platform.KeyRange) bool { return a.First <= b.Last && b.First <= a.Last }

// grant accepts a grant unless a higher fencing token was seen for one of its keys.
func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	o, ok := s.decodeOrder(w, r)
	if !ok {
		return
	}
	g := heldGrant{o.Keys, o.FencingToken, time.Now().Add(o.TTL)}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seen := range s.latestGrants {
		if overlaps(seen.keys, g.keys) && seen.fencingToken > g.fencingToken {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	s.latestGrants = append(subtract(s.latestGrants, g.keys), g)
	s.grants = append(subtract(s.grants, g.keys), g)
}

// subtract removes the keys of cut from the grants in list. It splits a grant that
// has keys on both sides of cut.
func subtract(list []heldGrant, cut platform.KeyRange) []heldGrant {
	var out []heldGrant
	for _, g := range list {
		if !overlaps(g.keys, cut) {
			out = append(out, g)
			continue
		}
		if g.keys.First < cut.First {
			lower := g
			lower.keys.Last = cut.First - 1
			out = append(out, lower)
		}
		if g.keys.Last > cut.Last {
			upper := g
			upper.keys.First = cut.Last + 1
			out = append(out, upper)
		}
	}
	return out
}

// release gives up a key range, waits for its running requests and responds
// with a handover token.
func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	o, ok := s.decodeOrder(w, r)
	if !ok {
		return
	}
	keys := o.Keys
	s.mu.Lock()
	s.grants = subtract(s.grants, keys)
	for s.hasRunning(keys) {
		wake := s.slotFreed
		s.mu.Unlock()
		<-wake
		s.mu.Lock()
	}
	s.mu.Unlock()
	platform.SetHandoverToken(w.Header(), "handover-"+s.options.Name)
}

// hasRunning reports whether a request for one of the keys is running. The lock
// must be held.
func (s *Server) hasRunning(keys platform.KeyRange) bool {
	for r := range s.runningByKey {
		if overlaps(r, keys) {
			return true
		}
	}
	return false
}

// Holds returns the fencing token of the server's grant for a key. The second result
// reports whether it has one.
func (s *Server) Holds(key uint16) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fencingToken(key)
}

// fencingToken returns the fencing token of the grant for a key. The second result
// reports whether there is one. The lock must be held.
func (s *Server) fencingToken(key uint16) (uint64, bool) {
	for _, g := range s.grants {
		if g.keys.First <= key && key <= g.keys.Last && time.Now().Before(g.until) {
			return g.fencingToken, true
		}
	}
	return 0, false
}
