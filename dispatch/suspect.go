package dispatch

import "time"

const (
	// quarantinePeriod is how long requests with a quarantined fingerprint are
	// rejected.
	quarantinePeriod = 10 * time.Minute
	// suspectPeriod is how long a fingerprint stays suspect after one crash.
	suspectPeriod = 10 * time.Minute
	// maxSuspects bounds the number of suspect fingerprints.
	maxSuspects = 4096
)

// suspects holds the fingerprints of requests that were running when a target
// crashed. They are suspected of having caused the crash.
type suspects struct {
	entries map[uint64]suspect
	// unreported holds the quarantines that TakeQuarantined has not returned yet.
	unreported []Quarantine
}

type suspect struct {
	quarantined bool
	until       time.Time
}

// A Quarantine is a quarantined fingerprint. Requests with it are rejected.
type Quarantine struct {
	Fingerprint uint64
	// Until is when the quarantine ends.
	Until time.Time
}

func newSuspects() *suspects {
	return &suspects{entries: map[uint64]suspect{}}
}

// lookup returns the unexpired entry of a fingerprint.
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

// recordCrash records that r was running when a target crashed. A request that
// was the only one on its target is known to be the cause and is quarantined;
// any other becomes suspect.
func (s *suspects) recordCrash(now time.Time, r *Request) {
	if r.Fingerprint == 0 {
		return
	}
	if !r.isolated {
		s.evict(now)
		s.entries[r.Fingerprint] = suspect{until: now.Add(suspectPeriod)}
		return
	}
	until := now.Add(quarantinePeriod)
	s.entries[r.Fingerprint] = suspect{quarantined: true, until: until}
	s.unreported = append(s.unreported, Quarantine{Fingerprint: r.Fingerprint, Until: until})
}

// recordSuccess clears the suspicion of a request that succeeded in isolation.
func (s *suspects) recordSuccess(r *Request) {
	if r.isolated {
		delete(s.entries, r.Fingerprint)
	}
}

// evict removes all entries that have expired or are not quarantined, once there
// are maxSuspects entries.
func (s *suspects) evict(now time.Time) {
	if len(s.entries) < maxSuspects {
		return
	}
	for fp, e := range s.entries {
		if now.After(e.until) || !e.quarantined {
			delete(s.entries, fp)
		}
	}
}
