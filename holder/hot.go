package holder

import (
	"sort"
	"time"

	"github.com/redwingtally/redwingtally/dispatch"
	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/placement"
)

// A HotKey is a key that has a shard of its own, numbered after the others.
type HotKey struct {
	Key  string `json:"key"`
	Slot int    `json:"slot"`
}

// hotKeys maps hot keys to shards of their own. The map stands in the group's
// object before it is used. A holder uses it once it has read the object under
// its own term, or once no lease of an older term can live.
type hotKeys struct {
	slots  map[string]int
	term   grant.Term
	finder *placement.Finder
	ends   time.Time
	// changing are keys that get no new work until what runs has ended.
	changing map[string]bool
	next     map[string]int
}

func (h *hotKeys) init() {
	h.slots = map[string]int{}
	h.finder = placement.NewFinder()
}

func (h *hotKeys) set(keys []HotKey) {
	h.slots = map[string]int{}
	for _, k := range keys {
		h.slots[k.Key] = k.Slot
	}
}

func (h *hotKeys) list(slots map[string]int) []HotKey {
	out := make([]HotKey, 0, len(slots))
	for k, s := range slots {
		out = append(out, HotKey{Key: k, Slot: s})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Slot < out[j].Slot })
	return out
}

// hotLimit returns how many keys may have a shard of their own.
func (g *Group) hotLimit() int {
	if g.bundle.Service.Division == nil {
		return 0
	}
	return g.bundle.Placement.HotKeys
}

// shardOf returns the shard of a key, or -1 when the service is not divided.
func (g *Group) shardOf(key string) int {
	if slot, ok := g.hot.slots[key]; ok && g.hotLimit() > 0 {
		return g.bundle.Service.Division.Shards + slot
	}
	return g.bundle.Service.Shard(key)
}

// usedShards returns the shards that keys can have at present.
func (g *Group) usedShards() []int {
	d := g.bundle.Service.Division
	if d == nil {
		return nil
	}
	out := make([]int, 0, d.Shards+len(g.hot.slots))
	for i := range d.Shards {
		out = append(out, i)
	}
	for _, k := range g.hot.list(g.hot.slots) {
		out = append(out, d.Shards+k.Slot)
	}
	return out
}

// hotReady reports whether the map of hot keys may be used under the present term.
func (g *Group) hotReady(now time.Time) bool {
	term := g.holder.Term()
	if g.hotLimit() == 0 || g.hot.term == term {
		return true
	}
	if now.Before(g.holder.FencedAt().Add(g.d.Timing.TakeoverWait())) {
		return false
	}
	g.hot.term = term
	return true
}

// adoptHot takes the map of hot keys from the group's object while the holder
// has not begun to use one under its term.
func (g *Group) adoptHot(obj GroupObject) {
	term := g.holder.Term()
	if g.holder.Phase() != grant.PhaseIdle && (g.hot.term == term || obj.Term != term) {
		return
	}
	g.hot.set(obj.Hot)
	if g.holder.Phase() != grant.PhaseIdle {
		g.hot.term = term
	}
}

// owner returns the index of the target that owns a request's key, with the
// request's shard brought up to date, or dispatch.NoOwner.
func (g *Group) owner(r *dispatch.Request) int {
	key := r.Value.(*job).in.Key
	r.Shard = g.shardOf(key)
	if g.hot.changing[key] || !g.hotReady(time.Now()) {
		return dispatch.NoOwner
	}
	return g.ownerIndex(r.Shard)
}

// endHotWindow decides which keys get shards of their own and which go back.
func (g *Group) endHotWindow(now time.Time) {
	if now.Before(g.hot.ends) || len(g.hot.changing) > 0 {
		return
	}
	g.hot.ends = now.Add(g.d.HotWindow)
	placed := make([]string, 0, len(g.hot.slots))
	for k := range g.hot.slots {
		placed = append(placed, k)
	}
	change := g.hot.finder.EndWindow(len(g.bundle.Service.Targets), g.hotLimit(), placed)
	if len(change.Add)+len(change.Remove) == 0 {
		return
	}
	g.hot.changing = map[string]bool{}
	g.hot.next = map[string]int{}
	for k, s := range g.hot.slots {
		g.hot.next[k] = s
	}
	for _, k := range change.Remove {
		delete(g.hot.next, k)
		g.hot.changing[k] = true
	}
	for _, k := range change.Add {
		g.hot.next[k] = freeSlot(g.hot.next)
		g.hot.changing[k] = true
	}
}

func freeSlot(used map[string]int) int {
	taken := map[int]bool{}
	for _, s := range used {
		taken[s] = true
	}
	for s := 0; ; s++ {
		if !taken[s] {
			return s
		}
	}
}

// nextHot returns the change of the group's object that puts a new map of hot
// keys in force, once nothing runs for the keys that change.
func (g *Group) nextHot(now time.Time) (func(*GroupObject), bool) {
	if g.hotLimit() == 0 {
		return nil, false
	}
	if g.hot.term != g.holder.Term() {
		return func(*GroupObject) {}, true // reads and writes the object under the own term
	}
	g.endHotWindow(now)
	if len(g.hot.changing) == 0 || g.core.CountRunning(g.runsChanging) > 0 {
		return nil, false
	}
	keys := g.hot.list(g.hot.next)
	return func(o *GroupObject) { o.Hot = keys }, true
}

func (g *Group) runsChanging(r *dispatch.Request) bool {
	return g.hot.changing[r.Value.(*job).in.Key]
}

// hotRecorded ends a change of hot keys: it is in force when the store has it,
// and is dropped when the store gave no answer.
func (g *Group) hotRecorded(ok bool) {
	if ok && g.hot.next != nil {
		g.hot.slots = g.hot.next
		g.log.Info("Hot keys changed.", "hot_keys", len(g.hot.slots))
	}
	g.hot.next = nil
	g.hot.changing = nil
}

// placeHot completes an assignment of shards by the owners of hot keys.
func (g *Group) placeHot(base placement.Assignment, available []string) placement.Assignment {
	shards := len(base)
	out := append(base, make(placement.Assignment, g.hotLimit())...)
	keys := g.hot.list(g.hot.slots)
	owners := g.holder.Owners()
	current := make([]string, len(keys))
	beside := make([]string, len(keys))
	for i, k := range keys {
		if n := shards + k.Slot; n < len(owners) {
			current[i] = owners[n]
		}
		beside[i] = base[g.bundle.Service.Shard(k.Key)]
	}
	for i, t := range placement.PlaceHot(current, beside, available) {
		if n := shards + keys[i].Slot; n < len(out) {
			out[n] = t
		}
	}
	return out
}
