package placement

import "sort"

// KeyCount is a key with an estimate of its number of requests.
type KeyCount struct {
	Key string `json:"key"`
	// Count is an upper bound of the true count.
	Count uint64 `json:"count"`
	// Error is the maximum by which Count exceeds the true count.
	Error uint64 `json:"error"`
}

// Sketch counts the most frequent keys in bounded memory by the Space-Saving
// algorithm. Any key with more than 1/size of all requests is in the sketch.
// Sketch is not safe for concurrent use.
type Sketch struct {
	size  int
	total uint64
	// heap is a min-heap by Count.
	heap []KeyCount
	// position holds the index in heap of each key.
	position map[string]int
}

// NewSketch returns a Sketch that counts at most size keys.
func NewSketch(size int) *Sketch {
	return &Sketch{size: size, position: make(map[string]int, size)}
}

// Add counts one request for key.
func (s *Sketch) Add(key string) {
	s.total++
	if i, ok := s.position[key]; ok {
		s.heap[i].Count++
		s.siftDown(i)
		return
	}
	if len(s.heap) < s.size {
		s.heap = append(s.heap, KeyCount{Key: key, Count: 1})
		s.position[key] = len(s.heap) - 1
		s.siftUp(len(s.heap) - 1)
		return
	}
	least := s.heap[0]
	delete(s.position, least.Key)
	s.heap[0] = KeyCount{Key: key, Count: least.Count + 1, Error: least.Count}
	s.position[key] = 0
	s.siftDown(0)
}

// Total returns the number of all counted requests.
func (s *Sketch) Total() uint64 {
	return s.total
}

// Top returns at most n keys whose guaranteed count, Count-Error, is at least
// minimum, by descending Count.
func (s *Sketch) Top(n int, minimum uint64) []KeyCount {
	var out []KeyCount
	for _, c := range s.heap {
		if c.Count-c.Error >= minimum {
			out = append(out, c)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Count != out[j].Count {
			return out[i].Count > out[j].Count
		}
		return out[i].Key < out[j].Key
	})
	return out[:min(n, len(out))]
}

func (s *Sketch) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if s.heap[parent].Count <= s.heap[i].Count {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

func (s *Sketch) siftDown(i int) {
	for {
		smallest := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < len(s.heap) && s.heap[child].Count < s.heap[smallest].Count {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		s.swap(i, smallest)
		i = smallest
	}
}

func (s *Sketch) swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.position[s.heap[i].Key] = i
	s.position[s.heap[j].Key] = j
}
