package grant

import "time"

// shard is a holder's state of one shard.
type shard struct {
	// owner is the server that may have a lease; empty if there is none.
	owner string
	// incarnation is the incarnation of the owner that the lease is granted to.
	incarnation uint64
	// confirmed reports whether the owner has reported its lease.
	confirmed bool
	// releasing reports whether orders no longer include the shard.
	releasing bool
	// releaseRound is the first round whose orders did not include the shard.
	releaseRound uint64
	// freeAt is the time from which no lease can exist. It is set while the
	// shard has no owner or is releasing.
	freeAt time.Time
}

// assign makes the server the owner of the shard.
func (s *shard) assign(to *server, confirmed bool) {
	*s = shard{owner: to.name, incarnation: to.incarnation, confirmed: confirmed}
}

// release stops including the shard in orders from round on. Its lease expires
// at leaseEnd at the latest.
func (s *shard) release(round uint64, leaseEnd time.Time) {
	s.releasing = true
	s.releaseRound = round
	s.freeAt = leaseEnd
}

// markFree removes the owner; no lease exists from at on.
func (s *shard) markFree(at time.Time) {
	*s = shard{freeAt: at}
}
