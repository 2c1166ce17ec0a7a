package placement

import "sort"

// A Hot is a key with an estimate of its requests.
type Hot struct {
	Key string `json:"key"`
	// Count is at least the true count of the key.
	Count uint64 `json:"count"`
	// Error bounds by how much Count may exceed the true count.
	Error uint64 `json:"error"`
}

// A Sketch counts the most frequent keys in bounded memory by the space-saving
// method: any key with more than 1/size of all requests is in the sketch. It is
// not safe for concurrent use.
type Sketch struct {
	size  int
	total uint64
	heap  []Hot
	index map[string]int
}

// NewSketch returns a Sketch that keeps size keys.
func NewSketch(size int) *Sketch {
	return &Sketch{size: size, index: make(map[string]int, size)}
}

// Add counts one request for key.
func (s *Sketch) Add(key string) {
	s.total++
	if i, ok := s.index[key]; ok {
		s.heap[i].Count++
		s.down(i)
		return
	}
	if len(s.heap) < s.size {
		s.heap = append(s.heap, Hot{Key: key, Count: 1})
		s.index[key] = len(s.heap) - 1
		s.up(len(s.heap) - 1)
		return
	}
	least := s.heap[0]
	delete(s.index, least.Key)
	s.heap[0] = Hot{Key: key, Count: least.Count + 1, Error: least.Count}
	s.index[key] = 0
	s.down(0)
}

// Total returns the weight of all counted requests.
func (s *Sketch) Total() uint64 {
	return s.total
}

// Top returns at most n keys whose guaranteed count is at least least, hottest first.
func (s *Sketch) Top(n int, least uint64) []Hot {
	var out []Hot
	for _, h := range s.heap {
		if h.Count-h.Error >= least {
			out = append(out, h)
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

func (s *Sketch) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if s.heap[parent].Count <= s.heap[i].Count {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

func (s *Sketch) down(i int) {
	for {
		least := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < len(s.heap) && s.heap[child].Count < s.heap[least].Count {
				least = child
			}
		}
		if least == i {
			return
		}
		s.swap(i, least)
		i = least
	}
}

func (s *Sketch) swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.index[s.heap[i].Key] = i
	s.index[s.heap[j].Key] = j
}
