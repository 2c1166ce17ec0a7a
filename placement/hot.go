package placement

import "slices"

const (
	// hotWindows is how many windows in a row a key must be hot before it is placed by itself.
	hotWindows = 2
	// coolWindows is how many windows in a row a placed key must be cool before it goes back to its shard.
	coolWindows = 6
	// minHot is the least number of requests in a window that make a key hot.
	minHot = 100
	// coolPart is the part of the threshold below which a placed key counts as cool.
	coolPart = 4
	// sketchSize is the number of keys that a finder keeps.
	sketchSize = 512
)

// A Finder finds the keys that are worth a place of their own. A key is hot
// when it alone brings more than half of a target's mean share of the requests,
// window after window, so that a swing of seconds moves nothing. It is not safe
// for concurrent use.
type Finder struct {
	sketch *Sketch
	hot    map[string]int
	cool   map[string]int
}

// NewFinder returns a Finder that has seen no requests.
func NewFinder() *Finder {
	return &Finder{sketch: NewSketch(sketchSize), hot: map[string]int{}, cool: map[string]int{}}
}

// Add counts a request for key.
func (f *Finder) Add(key string) { f.sketch.Add(key) }

// A HotChange says which keys get a place of their own and which go back.
type HotChange struct {
	Add    []string
	Remove []string
}

// EndWindow ends a window of traffic to a number of targets. placed are the
// keys that have a place of their own, limit is how many may have one.
func (f *Finder) EndWindow(targets, limit int, placed []string) HotChange {
	threshold := max(minHot, f.sketch.Total()/uint64(2*max(1, targets)))
	found := map[string]bool{}
	for _, h := range f.sketch.Top(limit, threshold) {
		found[h.Key] = true
	}
	warm := map[string]bool{}
	for _, h := range f.sketch.Top(sketchSize, threshold/coolPart) {
		warm[h.Key] = true
	}
	f.sketch = NewSketch(sketchSize)
	var change HotChange
	for _, k := range placed {
		if warm[k] {
			delete(f.cool, k)
			continue
		}
		f.cool[k]++
		if f.cool[k] >= coolWindows {
			change.Remove = append(change.Remove, k)
			delete(f.cool, k)
		}
	}
	change.Add = f.ripe(found, placed, limit-len(placed)+len(change.Remove))
	return change
}

// ripe returns at most n found keys that were hot for long enough.
func (f *Finder) ripe(found map[string]bool, placed []string, n int) []string {
	for k := range f.hot {
		if !found[k] {
			delete(f.hot, k)
		}
	}
	var out []string
	for k := range found {
		if slices.Contains(placed, k) {
			continue
		}
		f.hot[k]++
		if f.hot[k] >= hotWindows {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out[:min(max(0, n), len(out))]
}

// PlaceHot returns the owners of hot keys: each keeps its present owner while
// that is available, and else goes to the available target that has the fewest
// hot keys, other than the owner of the key's shard where there is a choice.
func PlaceHot(current, shardOwners, available []string) []string {
	count := map[string]int{}
	out := make([]string, len(current))
	for i, t := range current {
		if slices.Contains(available, t) {
			out[i] = t
			count[t]++
		}
	}
	for i := range out {
		if out[i] != "" {
			continue
		}
		for _, t := range available {
			better := out[i] == "" || count[t] < count[out[i]]
			if better && (t != shardOwners[i] || len(available) == 1) {
				out[i] = t
			}
		}
		count[out[i]]++
	}
	return out
}
