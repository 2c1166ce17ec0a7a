package ownership

import (
	"maps"
	"slices"
)

// A Census finds out whether the processes that may have coordinated before a takeover from a copy of the store still send
// orders. It knows these processes by the names of their hosts, as a host runs one process at a time. A host is accounted for
// once its process follows the new coordinator or has promised to send no more orders of earlier terms; if another process of
// the host has, the one before has ended. Hosts that are not expected account for no other one.
type Census struct {
	expected     map[string]struct{} // hosts whose processes may have coordinated
	accounted    map[string]uint64   // by host: the highest earlier term that its process knows; 0 if it knows of none
	lists        map[uint64]bool     // versions of reported lists of candidates, and whether their hosts are expected
	listed       bool                // the expected hosts include all candidates that some coordinator knew
	identified   uint64              // highest term whose coordinator's host is expected
	unidentified uint64              // highest term known to a host that cannot name its coordinator
}

// NewCensus returns a census that expects no host.
func NewCensus() *Census {
	return &Census{expected: map[string]struct{}{}, accounted: map[string]uint64{}, lists: map[uint64]bool{}}
}

// ExpectCandidates adds all hosts that a coordinator knew to be candidates. An empty list says nothing.
func (c *Census) ExpectCandidates(hosts []string) {
	c.listed = c.listed || len(hosts) > 0
	c.expect(hosts)
}

// ExpectCoordinator adds the host of the coordinator of a term.
func (c *Census) ExpectCoordinator(host string, term uint64) {
	c.identified = max(c.identified, term)
	if host != "" {
		c.expected[host] = struct{}{}
	}
}

func (c *Census) expect(hosts []string) {
	for _, host := range hosts {
		c.expected[host] = struct{}{}
	}
}

// Account records that the process of a host sends no orders of earlier terms. knownTerm is the highest term of a coordinator
// that it has followed or been before, or 0 if it has not.
func (c *Census) Account(host string, knownTerm uint64) {
	c.accounted[host] = max(c.accounted[host], knownTerm)
}

// KnowsList reports whether the hosts of a list of candidates with the given version are expected. If not, the census waits
// for the list.
func (c *Census) KnowsList(version uint64) bool {
	known, reported := c.lists[version]
	if !reported {
		c.lists[version] = false
	}
	return known
}

// AddList adds the hosts of a list of candidates that a host reports. Without hosts, it records that the list is not needed.
func (c *Census) AddList(version uint64, hosts []string) {
	c.lists[version] = true
	c.expect(hosts)
}

// NoList records that a host which knows of a term reports no list of candidates, as earlier builds do. It cannot name the
// coordinator of that term.
func (c *Census) NoList(knownTerm uint64) { c.unidentified = max(c.unidentified, knownTerm) }

// Expected returns the hosts whose processes may have coordinated, sorted.
func (c *Census) Expected() []string { return slices.Sorted(maps.Keys(c.expected)) }

// Missing returns the expected hosts that are not accounted for, sorted.
func (c *Census) Missing() []string {
	var out []string
	for _, host := range slices.Sorted(maps.Keys(c.expected)) {
		if _, ok := c.accounted[host]; !ok {
			out = append(out, host)
		}
	}
	return out
}

// Complete reports whether all processes that may have coordinated are accounted for. It is false while no coordinator's list of
// candidates is known, while a host lists candidates that are not expected yet, and if the coordinator of a known term is not.
func (c *Census) Complete() bool {
	if !c.listed || c.unidentified > c.identified {
		return false
	}
	for _, known := range c.lists {
		if !known {
			return false
		}
	}
	for host := range c.expected {
		if _, ok := c.accounted[host]; !ok {
			return false
		}
	}
	return true
}

// LatestTerm returns the highest earlier term that any host knows. It reports false if there may be a later one: a process has
// been replaced by one that knows of no term, and may have coordinated.
func (c *Census) LatestTerm() (uint64, bool) {
	latest, sure := uint64(0), true
	for host, term := range c.accounted {
		_, expected := c.expected[host]
		latest = max(latest, term)
		if expected && term == 0 {
			sure = false
		}
	}
	return latest, sure
}

// Accounted returns the hosts that are accounted for, sorted.
func (c *Census) Accounted() []string { return slices.Sorted(maps.Keys(c.accounted)) }
