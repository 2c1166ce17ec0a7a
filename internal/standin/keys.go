package standin

import (
	"net/http"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// heldGrant is a grant of a range of keys that expires at until.
type heldGrant struct {
	span  platform.KeyRange
	fence uint64
	until time.Time
}

// decodeOrder decodes a grant or a release. It rejects an order that is malformed
// or addressed to another target.
func (s *Server) decodeOrder(w http.ResponseWriter, r *http.Request) (platform.Grant, bool) {
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
		if overlaps(seen.span, g.span) && seen.fence > g.fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	s.latestGrants = append(subtract(s.latestGrants, g.span), g)
	s.grants = append(subtract(s.grants, g.span), g)
}

// subtract removes the keys of cut from the grants in list, and splits grants that
// contain it.
func subtract(list []heldGrant, cut platform.KeyRange) []heldGrant {
	var out []heldGrant
	for _, g := range list {
		if !overlaps(g.span, cut) {
			out = append(out, g)
			continue
		}
		if g.span.First < cut.First {
			left := g
			left.span.Last = cut.First - 1
			out = append(out, left)
		}
		if g.span.Last > cut.Last {
			right := g
			right.span.First = cut.Last + 1
			out = append(out, right)
		}
	}
	return out
}

// release gives up a range of keys, waits for its running requests and responds
// with a handover token.
func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	o, ok := s.decodeOrder(w, r)
	if !ok {
		return
	}
	span := o.Keys
	s.mu.Lock()
	s.grants = subtract(s.grants, span)
	for s.hasRunning(span) {
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
func (s *Server) hasRunning(span platform.KeyRange) bool {
	for at := range s.runningByKey {
		if overlaps(at, span) {
			return true
		}
	}
	return false
}

// fencingToken returns the fencing token of the grant for a key. The second result
// reports whether there is one. The lock must be held.
func (s *Server) fencingToken(key uint16) (uint64, bool) {
	for _, g := range s.grants {
		if g.span.First <= key && key <= g.span.Last && time.Now().Before(g.until) {
			return g.fence, true
		}
	}
	return 0, false
}
