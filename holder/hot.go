package holder

import (
	"sort"
	"time"

	"github.com/redwingtally/redwingtally/dispatch"
	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/placement"
)

// A HotKey is a key that has a shard of its own. Shards of hot keys are numbered
// after the regular shards; Slot is the offset.
type HotKey struct {
	Key  string `json:"key"`
	Slot int    `json:"slot"`
}

// hotKeys maps hot keys to shards of their own. The map is written to the group's
// object before it is used. A holder uses the map once it has read the object
// under its own term, or once all leases of older terms must have expired.
type hotKeys struct {
	// slots maps each hot key to the slot of its shard.
	slots map[string]int
	// term is the term under which slots may be used.
	term   grant.Term
	finder *placement.HotKeyFinder
	// windowEnd is when the counting window ends.
	windowEnd time.Time
	// changing is the set of keys whose shard is about to change. Their requests
	// are held back until the running ones have ended.
	changing map[string]bool
	// nextSlots replaces slots once the store has recorded it.
	nextSlots map[string]int
}

func (h *hotKeys) init() {
	h.slots = map[string]int{}
	h.finder = placement.NewHotKeyFinder()
}

func (h *hotKeys) setSlots(keys []HotKey) {
	h.slots = map[string]int{}
	for _, k := range keys {
		h.slots[k.Key] = k.Slot
	}
}

func (h *hotKeys) sortedKeys(slots map[string]int) []HotKey {
	out := make([]HotKey, 0, len(slots))
	for k, s := range slots {
		out = append(out, HotKey{Key: k, Slot: s})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Slot < out[j].Slot })
	return out
}

// maxHotKeys returns the maximum number of hot keys, or 0 when the service is not
// divided by key.
func (g *Group) maxHotKeys() int {
	if g.config.Service.Division == nil {
		return 0
	}
	return g.config.Placement.HotKeyLimit
}

// shardOf returns the shard of a key, or -1 when the service is not divided by key.
func (g *Group) shardOf(key string) int {
	if slot, ok := g.hot.slots[key]; ok && g.maxHotKeys() > 0 {
		return g.config.Service.Division.Shards + slot
	}
	return g.config.Service.ShardOf(key)
}

// activeShards returns the regular shards and those of the present hot keys.
func (g *Group) activeShards() []int {
	d := g.config.Service.Division
	if d == nil {
		return nil
	}
	out := make([]int, 0, d.Shards+len(g.hot.slots))
	for i := range d.Shards {
		out = append(out, i)
	}
	for _, k := range g.hot.sortedKeys(g.hot.slots) {
		out = append(out, d.Shards+k.Slot)
	}
	return out
}

// hotKeysUsable reports whether the map of hot keys may be used under the present
// term. It marks the map as usable once TakeoverWait has passed since the start of
// the term.
func (g *Group) hotKeysUsable(now time.Time) bool {
	term := g.holder.Term()
	if g.maxHotKeys() == 0 || g.hot.term == term {
		return true
	}
	if now.Before(g.holder.FencedAt().Add(g.deps.Timing.TakeoverWait())) {
		return false
	}
	g.hot.term = term
	return true
}

// adoptHotKeys takes over the map of hot keys from the group's object. A holder
// does so only until it uses a map under its term, and only from an object that
// was written under that term.
func (g *Group) adoptHotKeys(obj GroupObject) {
	term := g.holder.Term()
	if g.holder.Phase() != grant.PhaseIdle && (g.hot.term == term || obj.Term != term) {
		return
	}
	g.hot.setSlots(obj.HotKeys)
	if g.holder.Phase() != grant.PhaseIdle {
		g.hot.term = term
	}
}

// updateOwner updates the request's shard and returns the index of the target
// that owns it, or dispatch.NoOwner.
func (g *Group) updateOwner(r *dispatch.Request) int {
	key := r.Value.(*job).incoming.Key
	r.Shard = g.shardOf(key)
	if g.hot.changing[key] || !g.hotKeysUsable(time.Now()) {
		return dispatch.NoOwner
	}
	return g.ownerIndex(r.Shard)
}

// endHotWindow decides, when a counting window has ended, which keys get shards
// of their own and which return to their regular shards.
func (g *Group) endHotWindow(now time.Time) {
	if now.Before(g.hot.windowEnd) || len(g.hot.changing) > 0 {
		return
	}
	g.hot.windowEnd = now.Add(g.deps.HotKeyWindow)
	placed := make([]string, 0, len(g.hot.slots))
	for k := range g.hot.slots {
		placed = append(placed, k)
	}
	change := g.hot.finder.EndWindow(len(g.config.Service.Targets), g.maxHotKeys(), placed)
	if len(change.Add)+len(change.Remove) == 0 {
		return
	}
	g.hot.changing = map[string]bool{}
	g.hot.nextSlots = map[string]int{}
	for k, s := range g.hot.slots {
		g.hot.nextSlots[k] = s
	}
	for _, k := range change.Remove {
		delete(g.hot.nextSlots, k)
		g.hot.changing[k] = true
	}
	for _, k := range change.Add {
		g.hot.nextSlots[k] = freeSlot(g.hot.nextSlots)
		g.hot.changing[k] = true
	}
}

// freeSlot returns the lowest slot that is not used.
func freeSlot(used map[string]int) int {
	inUse := map[int]bool{}
	for _, s := range used {
		inUse[s] = true
	}
	for s := 0; ; s++ {
		if !inUse[s] {
			return s
		}
	}
}

// nextHotKeyChange returns the change of the group's object that puts a new map of
// hot keys in force. It returns false while there is none, or while requests for
// the changing keys are running.
func (g *Group) nextHotKeyChange(now time.Time) (func(*GroupObject), bool) {
	if g.maxHotKeys() == 0 {
		return nil, false
	}
	if g.hot.term != g.holder.Term() {
		return func(*GroupObject) {}, true // updating the object under the own term reads the map
	}
	g.endHotWindow(now)
	if len(g.hot.changing) == 0 || g.dispatcher.CountRunning(g.keyChanging) > 0 {
		return nil, false
	}
	keys := g.hot.sortedKeys(g.hot.nextSlots)
	return func(o *GroupObject) { o.HotKeys = keys }, true
}

func (g *Group) keyChanging(r *dispatch.Request) bool {
	return g.hot.changing[r.Value.(*job).incoming.Key]
}

// finishHotKeyChange ends a change of hot keys. The new map is put in force when
// the store has recorded it, and dropped otherwise.
func (g *Group) finishHotKeyChange(ok bool) {
	if ok && g.hot.nextSlots != nil {
		g.hot.slots = g.hot.nextSlots
		g.log.Info("Hot keys changed.", "hot_keys", len(g.hot.slots))
	}
	g.hot.nextSlots = nil
	g.hot.changing = nil
}

// placeHotKeys extends an assignment of the regular shards by the owners of the
// hot keys' shards.
func (g *Group) placeHotKeys(base placement.Assignment, available []string) placement.Assignment {
	shards := len(base)
	out := append(base, make(placement.Assignment, g.maxHotKeys())...)
	keys := g.hot.sortedKeys(g.hot.slots)
	owners := g.holder.Owners()
	current := make([]string, len(keys))
	regularOwners := make([]string, len(keys))
	for i, k := range keys {
		if n := shards + k.Slot; n < len(owners) {
			current[i] = owners[n]
		}
		regularOwners[i] = base[g.config.Service.ShardOf(k.Key)]
	}
	for i, t := range placement.PlaceHotKeys(current, regularOwners, available) {
		if n := shards + keys[i].Slot; n < len(out) {
			out[n] = t
		}
	}
	return out
}
