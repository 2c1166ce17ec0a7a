package standin

import (
	"net/http"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

type granted struct {
	span  platform.KeyRange
	fence uint64
	until time.Time
}

// order reads a grant or a release that is for this server.
func (s *Server) order(w http.ResponseWriter, r *http.Request) (platform.Grant, bool) {
	g, err := platform.DecodeGrant(r.Body)
	if err != nil || !s.o.Keyed {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return g, false
	}
	if expected := platform.ExpectedTarget(r.Header); expected != "" && expected != s.o.Name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return g, false
	}
	return g, true
}

func overlap(a, b platform.KeyRange) bool { return a.First <= b.Last && b.First <= a.Last }

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	o, ok := s.order(w, r)
	if !ok {
		return
	}
	g := granted{o.Keys, o.FencingToken, time.Now().Add(o.TTL)}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, have := range s.seen {
		if overlap(have.span, g.span) && have.fence > g.fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	s.seen = append(without(s.seen, g.span), g)
	s.grants = append(without(s.grants, g.span), g)
}

// without cuts a span out of a list of spans.
func without(list []granted, cut platform.KeyRange) []granted {
	var out []granted
	for _, g := range list {
		if !overlap(g.span, cut) {
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

func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	o, ok := s.order(w, r)
	if !ok {
		return
	}
	span := o.Keys
	s.mu.Lock()
	s.grants = without(s.grants, span)
	for s.busy(span) {
		wake := s.wake
		s.mu.Unlock()
		<-wake
		s.mu.Lock()
	}
	s.mu.Unlock()
	platform.SetHandoverToken(w.Header(), "handover-"+s.o.Name)
}

func (s *Server) busy(span platform.KeyRange) bool {
	for at := range s.work {
		if overlap(at, span) {
			return true
		}
	}
	return false
}

// holds returns the token with which the server holds a key.
func (s *Server) holds(key uint16) (uint64, bool) {
	for _, g := range s.grants {
		if g.span.First <= key && key <= g.span.Last && time.Now().Before(g.until) {
			return g.fence, true
		}
	}
	return 0, false
}
