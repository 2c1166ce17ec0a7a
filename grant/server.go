package grant

import "time"

// server is a holder's state of one server.
type server struct {
	name string
	// evidenceAt is the start of the latest round that the server accepted under
	// the holder's term.
	evidenceAt time.Time
	// voted reports whether the server accepted the holder's term and may vote.
	voted bool
	// reported reports whether the server reported its leases in a round that
	// started after the holder had a majority.
	reported    bool
	incarnation uint64
	// clock is a reading of the server's clock, received at clockAt.
	clock   time.Duration
	clockAt time.Time
	// pendingRound is the round of the order of unknown outcome; 0 if there is none.
	pendingRound uint64
	// leasesEnd is the time by which the leases of all orders so far have expired.
	leasesEnd time.Time
}

// reset clears the state that belongs to a term.
func (s *server) reset() {
	*s = server{name: s.name, incarnation: s.incarnation}
}

// clockReading returns a lower bound of the server's clock reading at the holder's
// time t, apart from clock drift. Using it as a deadline errs on the early side.
func (s *server) clockReading(t time.Time) time.Duration {
	return s.clock + t.Sub(s.clockAt)
}
