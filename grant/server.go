package grant

import "time"

// server is what a holder knows of one server.
type server struct {
	name string
	// asked is the start of the latest round that the server accepted at the holder's term.
	asked time.Time
	// voted says that the server accepted the holder's term and may vote.
	voted bool
	// reported says that the server told its leases in a round after the majority stood.
	reported    bool
	incarnation uint64
	// clock and clockAt are a reading of the server's clock and when it arrived.
	clock   time.Duration
	clockAt time.Time
	// pending is the round of the order whose fate is unknown; zero when there is none.
	pending uint64
	// lapse is when the leases of all orders so far have ended.
	lapse time.Time
}

func (s *server) reset() {
	*s = server{name: s.name, incarnation: s.incarnation}
}

// before returns the reading of the server's clock at the holder's time t, at the latest.
func (s *server) before(t time.Time) time.Duration {
	return s.clock + t.Sub(s.clockAt)
}
