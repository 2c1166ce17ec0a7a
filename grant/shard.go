package grant

import "time"

// shard is what a holder knows of one shard.
type shard struct {
	// owner is the server that may hold a lease; empty when there is none.
	owner string
	// incarnation is the life of the owner that the lease is given to.
	incarnation uint64
	// confirmed says that the server has told of its lease.
	confirmed bool
	// releasing says that orders leave the shard out.
	releasing bool
	// releaseRound is the first round that left the shard out.
	releaseRound uint64
	// free is when no lease can live any more; meaningful without owner or while releasing.
	free time.Time
}

// give makes a server the owner.
func (s *shard) give(to *server, confirmed bool) {
	*s = shard{owner: to.name, incarnation: to.incarnation, confirmed: confirmed}
}

// release begins to leave the shard out of orders; lapse is when its lease ends by itself.
func (s *shard) release(round uint64, lapse time.Time) {
	s.releasing = true
	s.releaseRound = round
	s.free = lapse
}

// freed notes that no lease lives from at on.
func (s *shard) freed(at time.Time) {
	*s = shard{free: at}
}
