// Package placement decides which target owns which shard and which daemon
// holds which group.
//
// Assign gives every shard to a target. It keeps owners that are still good,
// moves only what bounded imbalance demands, and is deterministic. Rank orders
// daemons for a group by rendezvous hashing. Sketch finds the hottest keys in
// bounded memory.
//
// # Usage
//
//	next := placement.Assign(placement.Input{Shards: 64, Targets: live, Current: now, Pins: pins})
//	order := placement.Rank("stockroom", daemons)
package placement

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// An Assignment maps each shard to the name of the target that shall own it;
// an empty name means that no target is available.
type Assignment []string

// An Input is what Assign decides from.
type Input struct {
	// Shards is the number of shards.
	Shards int
	// Targets are the available targets.
	Targets []string
	// Current is the present assignment; it may be shorter than Shards.
	Current Assignment
	// Pins fix shards to targets; a pin to an absent target has no effect.
	Pins []Pin
}

// Assign returns an assignment in which unpinned shards differ by at most one
// between targets when no pins are given, and which moves as few shards as
// that bound allows.
func Assign(in Input) Assignment {
	out := make(Assignment, in.Shards)
	if len(in.Targets) == 0 {
		return out
	}
	targets := append([]string(nil), in.Targets...)
	sort.Strings(targets)
	a := assigner{out: out, count: map[string]int{}, pinned: make([]bool, in.Shards)}
	for _, t := range targets {
		a.count[t] = 0
	}
	a.pin(in.Pins)
	a.keep(in.Current)
	a.trim(targets)
	a.fill(targets)
	return a.out
}

type assigner struct {
	out    Assignment
	count  map[string]int
	pinned []bool
}

func (a *assigner) pin(pins []Pin) {
	for _, p := range pins {
		if _, ok := a.count[p.Target]; !ok || p.Shard >= len(a.out) {
			continue
		}
		a.out[p.Shard] = p.Target
		a.pinned[p.Shard] = true
		a.count[p.Target]++
	}
}

func (a *assigner) keep(current Assignment) {
	for s := range a.out {
		if a.out[s] != "" || s >= len(current) {
			continue
		}
		if _, ok := a.count[current[s]]; ok {
			a.out[s] = current[s]
			a.count[current[s]]++
		}
	}
}

// trim frees shards of targets that have more than their share. Targets with
// most shards keep the greater share, so that fewer shards move.
func (a *assigner) trim(targets []string) {
	order := append([]string(nil), targets...)
	sort.SliceStable(order, func(i, j int) bool { return a.count[order[i]] > a.count[order[j]] })
	low := len(a.out) / len(targets)
	extra := len(a.out) % len(targets)
	limit := map[string]int{}
	for i, t := range order {
		limit[t] = low
		if i < extra {
			limit[t]++
		}
	}
	for s := len(a.out) - 1; s >= 0; s-- {
		t := a.out[s]
		if t != "" && !a.pinned[s] && a.count[t] > limit[t] {
			a.out[s] = ""
			a.count[t]--
		}
	}
}

func (a *assigner) fill(targets []string) {
	for s := range a.out {
		if a.out[s] != "" {
			continue
		}
		best := targets[0]
		for _, t := range targets[1:] {
			if a.count[t] < a.count[best] || a.count[t] == a.count[best] && weight(t, s) > weight(best, s) {
				best = t
			}
		}
		a.out[s] = best
		a.count[best]++
	}
}

func weight(name string, shard int) uint64 {
	return xxhash.Sum64String(name + "\x00" + strconv.Itoa(shard))
}

// Moves returns how many shards have another owner in b than in a.
func Moves(a, b Assignment) int {
	n := 0
	for s := range b {
		if s >= len(a) || a[s] != b[s] {
			n++
		}
	}
	return n
}

// Rank returns names ordered by rendezvous hashing for group; the first holds it.
func Rank(group string, names []string) []string {
	out := append([]string(nil), names...)
	sort.Slice(out, func(i, j int) bool {
		x, y := rendezvous(group, out[i]), rendezvous(group, out[j])
		if x != y {
			return x > y
		}
		return out[i] < out[j]
	})
	return out
}

func rendezvous(group, name string) uint64 {
	return xxhash.Sum64String(group + "\x00" + name)
}

// Imbalance returns by how many shards the fullest of n targets exceeds the mean.
func Imbalance(a Assignment, n int) float64 {
	if n == 0 {
		return 0
	}
	count := map[string]int{}
	most := 0
	for _, t := range a {
		count[t]++
		most = max(most, count[t])
	}
	return float64(most) - float64(len(a))/float64(n)
}
