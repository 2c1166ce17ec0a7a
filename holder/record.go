package holder

import (
	"context"
	"slices"
	"time"

	"github.com/redwingtally/redwingtally/dispatch"
	"github.com/redwingtally/redwingtally/grant"
)

// recordPause is the least time between two writes of a group's assignment.
const recordPause = 100 * time.Millisecond

// record brings the group's object up to date: the term, the owners and the
// next step towards the wanted set of voters. It writes only on a change.
func (g *Group) record(ctx context.Context) {
	g.mu.Lock()
	if g.holder.Phase() != grant.PhaseHolding || time.Since(g.recordedAt) < recordPause {
		g.mu.Unlock()
		return
	}
	term := g.holder.Term()
	change, ok := g.nextRecord(time.Now())
	g.mu.Unlock()
	if !ok {
		return
	}
	obj, err := updateObject(ctx, g.d.Store, g.name, term, func(o *GroupObject) {
		o.Term = term
		o.Holder = g.d.Self().Name
		change(o)
	})
	g.countStore("record", err)
	g.mu.Lock()
	g.recordedAt = time.Now()
	g.mu.Unlock()
	if err != nil && obj.Term <= term {
		g.step(func(time.Time) { g.hotRecorded(false) })
		return
	}
	g.step(func(now time.Time) {
		g.hotRecorded(err == nil)
		g.learn(now, obj)
		g.holder.ObserveTerm(obj.Term)
	})
}

// nextRecord returns the next change of the object, and false when it is up to date.
func (g *Group) nextRecord(now time.Time) (func(*GroupObject), bool) {
	d := g.bundle.Service.Division
	if d == nil {
		return nil, false
	}
	if change, ok := g.nextHot(now); ok {
		return change, true
	}
	if !d.ChecksGrants {
		return g.nextMove(now, d.Shards)
	}
	if voters, ok := g.nextVoters(); ok {
		epoch := g.object.Epoch + 1
		return func(o *GroupObject) {
			o.Voters = voters
			o.Epoch = epoch
		}, true
	}
	owners := g.holder.Owners()
	if !g.whole(owners) || g.object.Term == g.holder.Term() && slices.Equal(owners, g.object.Owners) {
		return nil, false
	}
	return func(o *GroupObject) { o.Owners = owners }, true
}

// whole reports whether all shards in use have owners.
func (g *Group) whole(owners []string) bool {
	for _, i := range g.usedShards() {
		if i >= len(owners) || owners[i] == "" {
			return false
		}
	}
	return true
}

// nextVoters returns a set of voters that is one server nearer to the service
// record, and false when the set is that of the record. Sets that differ by one
// server share a voter in any two majorities.
func (g *Group) nextVoters() ([]Voter, bool) {
	voters := slices.Clone(g.object.Voters)
	for _, t := range g.bundle.Service.Targets {
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

// nextMove returns the next assignment of a group whose targets do not check
// grants. Shards that move get no new work until what runs has ended.
func (g *Group) nextMove(now time.Time, shards int) (func(*GroupObject), bool) {
	next := g.assignment(now, shards)
	if !g.whole(next) || slices.Equal([]string(next), g.object.Owners) {
		g.moving = nil
		return nil, false
	}
	moving := map[int]bool{}
	busy := false
	for s := range next {
		if s >= len(g.object.Owners) || g.object.Owners[s] != next[s] {
			moving[s] = true
			if s < len(g.object.Owners) && g.object.Owners[s] != "" && !g.mayLeave(now, g.object.Owners[s]) {
				busy = true
			}
			busy = busy || g.core.CountRunning(func(r *dispatch.Request) bool { return r.Shard == s }) > 0
		}
	}
	g.moving = moving
	if busy {
		return nil, false
	}
	return func(o *GroupObject) { o.Owners = next }, true
}

// Status is what the daemon that holds a group reports to operators.
type Status struct {
	Service   string         `json:"service"`
	Holder    string         `json:"holder"`
	Term      string         `json:"term"`
	Records   uint64         `json:"records_version"`
	Owners    map[string]int `json:"shards_by_target,omitempty"`
	Unowned   int            `json:"unowned_shards"`
	Hot       []HotKey       `json:"hot_keys,omitempty"`
	Queued    int            `json:"queued"`
	Running   int            `json:"running"`
	InFlight  int64          `json:"in_flight"`
	Recorded  bool           `json:"recorded"`
	Targets   []TargetStatus `json:"targets"`
	RequestID IDStatus       `json:"request_ids"`
}

// TargetStatus is what a holder knows of one target.
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
		Service:   g.name,
		Holder:    g.d.Self().Name,
		Term:      g.holder.Term().String(),
		Records:   g.bundle.Version,
		Queued:    g.core.Queued(),
		Running:   g.core.Running(),
		InFlight:  g.inFlight.Load(),
		Recorded:  g.object.Term == g.holder.Term(),
		RequestID: g.ids.status(),
	}
	if g.bundle.Service.Division != nil {
		s.Hot = g.hot.list(g.hot.slots)
		s.Owners = map[string]int{}
		for _, i := range g.usedShards() {
			if o, ok := g.holder.Owner(time.Now(), i); ok {
				s.Owners[o.Server]++
			} else {
				s.Unowned++
			}
		}
	}
	for _, t := range g.bundle.Service.Targets {
		h := g.health[t.Name]
		s.Targets = append(s.Targets, TargetStatus{Name: t.Name, Lost: h.lost, Draining: h.draining || t.Leaving})
	}
	return s
}
