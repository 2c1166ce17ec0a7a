// Package placement assigns shards and hot keys to targets and groups to
// daemons.
//
// Assign assigns each shard to a target. It is deterministic, keeps the current
// owner of a shard where it can, and moves only as many shards as an even
// distribution needs. Daemons are ordered for each group by rendezvous hashing.
// Sketch counts the most frequent keys in bounded memory, and HotKeyFinder selects
// the keys that are assigned to a target individually. A group is the targets and
// shards of one service; it is held by one daemon.
//
// # Usage
//
//	next := placement.Assign(placement.Input{Shards: 64, Targets: live, Current: now, Pins: pins})
//	order := placement.RankDaemons("stockroom", daemons)
package placement

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Assignment maps each shard to the name of the target that owns it. The name is
// empty if no target is available.
type Assignment []string

// Input holds the arguments of Assign.
type Input struct {
	// Shards is the number of shards.
	Shards int
	// Targets are the available targets.
	Targets []string
	// Current is the current assignment. It can be shorter than Shards.
	Current Assignment
	// Pins fix shards to targets. A pin to an unavailable target has no effect.
	Pins []Pin
}

// Assign returns an assignment of all shards. Without pins, the numbers of shards
// of any two targets differ by at most one. Assign moves as few shards from
// in.Current as that bound allows.
func Assign(in Input) Assignment {
	out := make(Assignment, in.Shards)
	if len(in.Targets) == 0 {
		return out
	}
	targets := append([]string(nil), in.Targets...)
	sort.Strings(targets)
	a := assigner{assignment: out, count: map[string]int{}, pinned: make([]bool, in.Shards)}
	for _, t := range targets {
		a.count[t] = 0
	}
	a.applyPins(in.Pins)
	a.keepCurrent(in.Current)
	a.releaseExcess(targets)
	a.assignUnowned(targets)
	return a.assignment
}

// assigner is the state of one call of Assign.
type assigner struct {
	assignment Assignment
	// count is the number of shards of each available target.
	count  map[string]int
	pinned []bool
}

// applyPins assigns the pinned shards whose target is available.
func (a *assigner) applyPins(pins []Pin) {
	for _, p := range pins {
		if _, ok := a.count[p.Target]; !ok || p.Shard >= len(a.assignment) {
			continue
		}
		a.assignment[p.Shard] = p.Target
		a.pinned[p.Shard] = true
		a.count[p.Target]++
	}
}

// keepCurrent assigns the shards without a pin to their current owners, if
// these are available.
func (a *assigner) keepCurrent(current Assignment) {
	for s := range a.assignment {
		if a.assignment[s] != "" || s >= len(current) {
			continue
		}
		if _, ok := a.count[current[s]]; ok {
			a.assignment[s] = current[s]
			a.count[current[s]]++
		}
	}
}

// releaseExcess removes the owner from shards of targets that exceed their share. If the shards
// do not divide evenly, the targets with the most shards keep one more, so that
// fewer shards move.
func (a *assigner) releaseExcess(targets []string) {
	order := append([]string(nil), targets...)
	sort.SliceStable(order, func(i, j int) bool { return a.count[order[i]] > a.count[order[j]] })
	low := len(a.assignment) / len(targets)
	extra := len(a.assignment) % len(targets)
	limit := map[string]int{}
	for i, t := range order {
		limit[t] = low
		if i < extra {
			limit[t]++
		}
	}
	for s := len(a.assignment) - 1; s >= 0; s-- {
		t := a.assignment[s]
		if t != "" && !a.pinned[s] && a.count[t] > limit[t] {
			a.assignment[s] = ""
			a.count[t]--
		}
	}
}

// assignUnowned assigns each shard without an owner to the target with the
// fewest shards. Rendezvous hashing breaks ties.
func (a *assigner) assignUnowned(targets []string) {
	for s := range a.assignment {
		if a.assignment[s] != "" {
			continue
		}
		best := targets[0]
		for _, t := range targets[1:] {
			if a.count[t] < a.count[best] || a.count[t] == a.count[best] && shardWeight(t, s) > shardWeight(best, s) {
				best = t
			}
		}
		a.assignment[s] = best
		a.count[best]++
	}
}

// shardWeight returns the rendezvous hash of a target and a shard.
func shardWeight(name string, shard int) uint64 {
	return xxhash.Sum64String(name + "\x00" + strconv.Itoa(shard))
}

// CountMoves returns the number of shards of b whose owner differs from that in a.
func CountMoves(a, b Assignment) int {
	n := 0
	for s := range b {
		if s >= len(a) || a[s] != b[s] {
			n++
		}
	}
	return n
}

// RankDaemons returns the names of daemons in rendezvous hashing order for group.
// The first daemon is the preferred one.
func RankDaemons(group string, names []string) []string {
	out := append([]string(nil), names...)
	sort.Slice(out, func(i, j int) bool {
		x, y := groupWeight(group, out[i]), groupWeight(group, out[j])
		if x != y {
			return x > y
		}
		return out[i] < out[j]
	})
	return out
}

// groupWeight returns the rendezvous hash of a group and a daemon.
func groupWeight(group, name string) uint64 {
	return xxhash.Sum64String(group + "\x00" + name)
}

// Imbalance returns the difference between the largest number of shards of a
// target and the mean over n targets.
func Imbalance(a Assignment, n int) float64 {
	if n == 0 {
		return 0
	}
	count := map[string]int{}
	largest := 0
	for _, t := range a {
		count[t]++
		largest = max(largest, count[t])
	}
	return float64(largest) - float64(len(a))/float64(n)
}
