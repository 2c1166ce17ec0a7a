package dispatch

import "time"

const (
	// setAsideFor is how long a request that crashed two targets is refused.
	setAsideFor = 10 * time.Minute
	// suspectFor is how long a request that was running at one crash stays suspect.
	suspectFor = 10 * time.Minute
	// maxSuspects bounds the suspects that are remembered.
	maxSuspects = 4096
)

// suspects remembers the fingerprints of requests that were running when targets crashed.
type suspects struct {
	entries map[uint64]suspect
	news    []SetAside
}

type suspect struct {
	setAside bool
	until    time.Time
}

// A SetAside is a fingerprint that is refused until a time.
type SetAside struct {
	Fingerprint uint64
	Until       time.Time
}

func newSuspects() *suspects {
	return &suspects{entries: map[uint64]suspect{}}
}

func (s *suspects) lookup(now time.Time, fp uint64) (suspect, bool) {
	if fp == 0 || len(s.entries) == 0 {
		return suspect{}, false
	}
	e, ok := s.entries[fp]
	if ok && now.After(e.until) {
		delete(s.entries, fp)
		return suspect{}, false
	}
	return e, ok
}

// crashed notes that the request was running when a target crashed. Only a
// request that ran alone is known to be the cause.
func (s *suspects) crashed(now time.Time, r *Request) {
	if r.Fingerprint == 0 {
		return
	}
	if !r.alone {
		s.trim(now)
		s.entries[r.Fingerprint] = suspect{until: now.Add(suspectFor)}
		return
	}
	until := now.Add(setAsideFor)
	s.entries[r.Fingerprint] = suspect{setAside: true, until: until}
	s.news = append(s.news, SetAside{Fingerprint: r.Fingerprint, Until: until})
}

func (s *suspects) cleared(r *Request) {
	if r.alone {
		delete(s.entries, r.Fingerprint)
	}
}

func (s *suspects) trim(now time.Time) {
	if len(s.entries) < maxSuspects {
		return
	}
	for fp, e := range s.entries {
		if now.After(e.until) || !e.setAside {
			delete(s.entries, fp)
		}
	}
}
