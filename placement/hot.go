package placement

import "slices"

const (
	// windowsToPlace is the number of consecutive windows in which a key must be
	// hot before it is placed individually.
	windowsToPlace = 2
	// windowsToRelease is the number of consecutive windows in which a placed
	// key must be cold before it is returned to its shard.
	windowsToRelease = 6
	// minHotRequests is the minimum number of requests for a hot key in a window.
	minHotRequests = 100
	// coldDivisor is the threshold of a hot key divided by that of a cold key.
	coldDivisor = 4
	// sketchSize is the number of keys that the sketch of a HotKeyFinder counts.
	sketchSize = 512
)

// HotKeyFinder finds the hot keys, which are assigned to a target individually. A
// key is hot if it receives at least half of the mean number of requests per
// target. It is placed only after it was hot in consecutive windows, so that a
// burst of a few seconds moves no keys. HotKeyFinder is not safe for concurrent use.
type HotKeyFinder struct {
	sketch *Sketch
	// hotStreak counts the consecutive windows in which a key was hot.
	hotStreak map[string]int
	// coldStreak counts the consecutive windows in which a placed key was cold.
	coldStreak map[string]int
}

// NewHotKeyFinder returns a HotKeyFinder that has counted no requests.
func NewHotKeyFinder() *HotKeyFinder {
	return &HotKeyFinder{sketch: NewSketch(sketchSize), hotStreak: map[string]int{}, coldStreak: map[string]int{}}
}

// Add counts a request for key.
func (f *HotKeyFinder) Add(key string) { f.sketch.Add(key) }

// HotKeyChange is a change of the set of individually placed keys.
type HotKeyChange struct {
	// Add holds the keys to place individually.
	Add []string
	// Remove holds the keys to return to their shards.
	Remove []string
}

// EndWindow ends a window of traffic to a number of targets and begins the next
// one. The keys in placed are placed individually now; limit is the maximum
// number of such keys.
func (f *HotKeyFinder) EndWindow(targets, limit int, placed []string) HotKeyChange {
	threshold := max(minHotRequests, f.sketch.Total()/uint64(2*max(1, targets)))
	hot := map[string]bool{}
	for _, c := range f.sketch.Top(limit, threshold) {
		hot[c.Key] = true
	}
	notCold := map[string]bool{}
	for _, c := range f.sketch.Top(sketchSize, threshold/coldDivisor) {
		notCold[c.Key] = true
	}
	f.sketch = NewSketch(sketchSize)
	var change HotKeyChange
	for _, k := range placed {
		if notCold[k] {
			delete(f.coldStreak, k)
			continue
		}
		f.coldStreak[k]++
		if f.coldStreak[k] >= windowsToRelease {
			change.Remove = append(change.Remove, k)
			delete(f.coldStreak, k)
		}
	}
	change.Add = f.keysToPlace(hot, placed, limit-len(placed)+len(change.Remove))
	return change
}

// keysToPlace updates the streaks of hot keys and returns at most n keys that
// were hot in windowsToPlace consecutive windows.
func (f *HotKeyFinder) keysToPlace(hot map[string]bool, placed []string, n int) []string {
	for k := range f.hotStreak {
		if !hot[k] {
			delete(f.hotStreak, k)
		}
	}
	var out []string
	for k := range hot {
		if slices.Contains(placed, k) {
			continue
		}
		f.hotStreak[k]++
		if f.hotStreak[k] >= windowsToPlace {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out[:min(max(0, n), len(out))]
}

// PlaceHotKeys returns the owners of hot keys. current and shardOwners hold, for
// each key, its current owner and the owner of its shard. A key keeps its current
// owner while that is available. Otherwise it is assigned to the available target
// with the fewest hot keys, excluding the owner of the key's shard unless that is
// the only available target. The owner is empty if no target is available.
func PlaceHotKeys(current, shardOwners, available []string) []string {
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
