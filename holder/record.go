package holder

import (
	"context"
	"slices"
	"time"

	"github.com/redwingtally/redwingtally/dispatch"
	"github.com/redwingtally/redwingtally/grant"
)

// recordInterval is the minimum time between two updates of a group's object.
const recordInterval = 100 * time.Millisecond

// recordState writes the term, the owners, the hot keys and the next change of the
// set of voters to the group's object. It writes only if there is a change.
func (g *Group) recordState(ctx context.Context) {
	g.mu.Lock()
	if g.holder.Phase() != grant.PhaseHolding || time.Since(g.recordedAt) < recordInterval {
		g.mu.Unlock()
		return
	}
	term := g.holder.Term()
	change, ok := g.nextObjectChange(time.Now())
	g.mu.Unlock()
	if !ok {
		return
	}
	obj, err := updateObject(ctx, g.deps.Store, g.name, term, func(o *GroupObject) {
		o.Term = term
		o.Holder = g.deps.Self().Name
		change(o)
	})
	g.countStoreCall("record", err)
	g.mu.Lock()
	g.recordedAt = time.Now()
	g.mu.Unlock()
	if err != nil && obj.Term <= term {
		g.applyEvent(func(time.Time) { g.finishHotKeyChange(false) })
		return
	}
	g.applyEvent(func(now time.Time) {
		g.finishHotKeyChange(err == nil)
		g.adoptObject(now, obj)
		g.holder.ObserveTerm(obj.Term)
	})
}

// nextObjectChange returns the next change to write to the group's object, and
// false when there is none.
func (g *Group) nextObjectChange(now time.Time) (func(*GroupObject), bool) {
	d := g.config.Service.Division
	if d == nil {
		return nil, false
	}
	if change, ok := g.nextHotKeyChange(now); ok {
		return change, true
	}
	if !d.ChecksGrants {
		return g.nextOwners(now, d.Shards)
	}
	if voters, ok := g.nextVoters(); ok {
		epoch := g.object.Epoch + 1
		return func(o *GroupObject) {
			o.Voters = voters
			o.Epoch = epoch
		}, true
	}
	owners := g.holder.Owners()
	if !g.allOwned(owners) || g.object.Term == g.holder.Term() && slices.Equal(owners, g.object.Owners) {
		return nil, false
	}
	return func(o *GroupObject) { o.Owners = owners }, true
}

// allOwned reports whether all active shards have owners.
func (g *Group) allOwned(owners []string) bool {
	for _, i := range g.activeShards() {
		if i >= len(owners) || owners[i] == "" {
			return false
		}
	}
	return true
}

// nextVoters returns the set of voters changed by one target towards the service
// record, and false when it matches the record. Only one target changes at a
// time, so that any majority of the old set shares a voter with any majority of
// the new one.
func (g *Group) nextVoters() ([]Voter, bool) {
	voters := slices.Clone(g.object.Voters)
	for _, t := range g.config.Service.Targets {
		i := slices.IndexFunc(voters, func(v Voter) bool { return v.Name == t.Name })
		if i < 0 {
			return append(voters, Voter{Name: t.Name, Address: t.Address}), true
		}
		if voters[i].Address != t.Address {
			voters[i].Address = t.Address
			return voters, true
		}
	}
	for i, v := range voters {
		if _, ok := g.targetSpec(v.Name); !ok {
			return slices.Delete(voters, i, i+1), true
		}
	}
	return nil, false
}

// nextOwners returns the next assignment of a group whose targets do not check
// grants. Requests for shards that move are held back until the running ones have
// ended.
func (g *Group) nextOwners(now time.Time, shards int) (func(*GroupObject), bool) {
	next := g.computeAssignment(now, shards)
	if !g.allOwned(next) || slices.Equal([]string(next), g.object.Owners) {
		g.movingShards = nil
		return nil, false
	}
	moving := map[int]bool{}
	busy := false
	for s := range next {
		if s >= len(g.object.Owners) || g.object.Owners[s] != next[s] {
			moving[s] = true
			if s < len(g.object.Owners) && g.object.Owners[s] != "" && !g.canMoveFrom(now, g.object.Owners[s]) {
				busy = true
			}
			busy = busy || g.dispatcher.CountRunning(func(r *dispatch.Request) bool { return r.Shard == s }) > 0
		}
	}
	g.movingShards = moving
	if busy {
		return nil, false
	}
	return func(o *GroupObject) { o.Owners = next }, true
}

// Status is the state of a group in reports to operators.
type Status struct {
	Service        string         `json:"service"`
	Holder         string         `json:"holder"`
	Term           string         `json:"term"`
	RecordsVersion uint64         `json:"records_version"`
	ShardsByTarget map[string]int `json:"shards_by_target,omitempty"`
	UnownedShards  int            `json:"unowned_shards"`
	HotKeys        []HotKey       `json:"hot_keys,omitempty"`
	Queued         int            `json:"queued"`
	Running        int            `json:"running"`
	InFlight       int64          `json:"in_flight"`
	Recorded       bool           `json:"recorded"`
	Targets        []TargetStatus `json:"targets"`
	RequestID      IDStatus       `json:"request_ids"`
}

// TargetStatus is the state of one target as its health checks show it.
type TargetStatus struct {
	Name     string `json:"name"`
	Lost     bool   `json:"lost"`
	Draining bool   `json:"draining"`
}

// Status returns the group's state.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Status{
		Service:        g.name,
		Holder:         g.deps.Self().Name,
		Term:           g.holder.Term().String(),
		RecordsVersion: g.config.Version,
		Queued:         g.dispatcher.Queued(),
		Running:        g.dispatcher.Running(),
		InFlight:       g.inFlight.Load(),
		Recorded:       g.object.Term == g.holder.Term(),
		RequestID:      g.ids.status(),
	}
	if g.config.Service.Division != nil {
		s.HotKeys = g.hot.sortedKeys(g.hot.slots)
		s.ShardsByTarget = map[string]int{}
		for _, i := range g.activeShards() {
			if o, ok := g.holder.Owner(time.Now(), i); ok {
				s.ShardsByTarget[o.Server]++
			} else {
				s.UnownedShards++
			}
		}
	}
	for _, t := range g.config.Service.Targets {
		h := g.health[t.Name]
		s.Targets = append(s.Targets, TargetStatus{Name: t.Name, Lost: h.lost, Draining: h.draining || t.Leaving})
	}
	return s
}
