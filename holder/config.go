package holder

import (
	"slices"
	"time"

	"github.com/redwingtally/redwingtally/catalogue"
	"github.com/redwingtally/redwingtally/dispatch"
	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/target"
)

// applyConfig puts a configuration of the service in force.
func (g *Group) applyConfig(config *catalogue.ServiceConfig) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.config
	g.config = config
	g.updateTargets(config)
	if g.holder == nil || old == nil || !sameLayout(old, config) {
		g.resetHolder(config)
	}
	if g.dispatcher == nil {
		g.dispatcher = dispatch.New(dispatchConfig(config))
	} else if old.Version != config.Version {
		g.dispatcher.Reconfigure(dispatchConfig(config), g.reclassify)
	}
	for _, t := range config.Service.Targets {
		g.dispatcher.SetTarget(dispatch.TargetSpec{Name: t.Name, Slots: config.Service.SlotsPerTarget, Draining: t.Leaving})
	}
	g.dispatchReady(time.Now())
}

// sameLayout reports whether two configurations have the same shard layout.
func sameLayout(a, b *catalogue.ServiceConfig) bool {
	x, y := a.Service.Division, b.Service.Division
	if x == nil || y == nil {
		return x == y
	}
	return *layoutOf(a) == *layoutOf(b)
}

// layoutOf returns the shard layout of a service divided by key. A change of it
// needs a new grant.Holder.
func layoutOf(config *catalogue.ServiceConfig) *shardLayout {
	d := config.Service.Division
	return &shardLayout{shards: d.Shards, checksGrants: d.ChecksGrants, hotKeys: config.Placement.HotKeyLimit}
}

type shardLayout struct {
	shards, hotKeys int
	checksGrants    bool
}

// resetHolder replaces the grant.Holder by an idle one. After a change of the
// shard layout, leases of the old layout are left to expire.
func (g *Group) resetHolder(config *catalogue.ServiceConfig) {
	cfg := grant.Config{Group: config.Name, Timing: g.deps.Timing, Incarnation: g.deps.Self().Incarnation}
	if d := config.Service.Division; d != nil {
		cfg.Shards = d.Shards + g.maxHotKeys()
		cfg.ChecksGrants = d.ChecksGrants
	}
	seen := grant.Term(0)
	if g.holder != nil {
		seen = g.holder.Term()
		g.holder.Stop()
	}
	cfg.Epoch = g.object.Epoch
	cfg.Servers = g.object.voterNames()
	g.holder = grant.New(cfg)
	g.holder.ObserveTerm(seen)
}

func (o GroupObject) voterNames() []string {
	names := make([]string, 0, len(o.Voters))
	for _, v := range o.Voters {
		names = append(names, v.Name)
	}
	return names
}

// updateTargets makes the clients of targets match the configuration. Voters that
// are not in it keep a client until the set of voters has changed.
func (g *Group) updateTargets(config *catalogue.ServiceConfig) {
	keep := map[string]bool{}
	for _, t := range config.Service.Targets {
		keep[t.Name] = true
		existing, ok := g.targets[t.Name]
		if ok && existing.Address == t.Address {
			continue
		}
		if ok {
			existing.Close()
		}
		g.targets[t.Name] = target.New(t.Name, t.Address, config.Service.ConnectionsPerTarget)
		g.health[t.Name] = &healthState{}
	}
	for n := range g.targets {
		if keep[n] {
			continue
		}
		if g.dispatcher != nil {
			g.dispatcher.RemoveTarget(n)
		}
		if !slices.Contains(g.object.voterNames(), n) {
			g.targets[n].Close()
			delete(g.targets, n)
			delete(g.health, n)
		}
	}
	for _, v := range g.object.Voters {
		if _, ok := g.targets[v.Name]; !ok {
			g.targets[v.Name] = target.New(v.Name, v.Address, 1)
			g.health[v.Name] = &healthState{}
		}
	}
}

// dispatchConfig derives the configuration of the dispatcher from the policy.
func dispatchConfig(config *catalogue.ServiceConfig) dispatch.Config {
	cfg := dispatch.Config{RetryRatio: config.Policy.Retry.Ratio, MaxAttempts: config.Policy.Retry.Attempts}
	for _, c := range config.Policy.Classes {
		cfg.Classes = append(cfg.Classes, dispatch.ClassConfig{Rank: c.Rank, QueueLimit: c.QueueLimit, Ageing: c.Ageing.Duration})
		cfg.QueueLimit += c.QueueLimit
	}
	for _, r := range config.Policy.Routes {
		cfg.LongRoutes = append(cfg.LongRoutes, r.LongRunning)
	}
	return cfg
}

// reclassify sets a request's class and route to those of the policy in force,
// or to the first ones when no route matches any more.
func (g *Group) reclassify(r *dispatch.Request) {
	j := r.Value.(*job)
	m, ok := g.config.Policy.Match(j.incoming.Method, j.incoming.Path)
	if !ok {
		m.ClassIndex, m.RouteIndex = 0, 0
	}
	r.Class, r.Route = m.ClassIndex, m.RouteIndex
}
