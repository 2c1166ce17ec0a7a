package catalogue

import (
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/redwingtally/redwingtally/peer/controlpb"
	"github.com/redwingtally/redwingtally/platform"
)

// The related paper proposes invertible Bloom filters for finding the difference
// of two sets without prior context. This compares the bytes that tell two
// daemons which records differ: by filter, growing until it decodes, and by the
// version that each record has anyway.

// cell is one bucket of a filter: a count, and the sums of ids and hashes.
type cell struct {
	count    int32
	id, hash uint64
}

const (
	cellBytes  = 20
	hashCounts = 3
)

func place(id uint64, i, n int) int {
	var b [9]byte
	binary.LittleEndian.PutUint64(b[:], id)
	b[8] = byte(i)
	part := n / hashCounts
	return i*part + int(xxhash.Sum64(b[:])%uint64(part))
}

func add(f []cell, id uint64, sign int32) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], id)
	for i := range hashCounts {
		c := &f[place(id, i, len(f))]
		c.count += sign
		c.id ^= id
		c.hash ^= xxhash.Sum64(b[:])
	}
}

// decodes reports whether the difference in f can be listed whole.
func decodes(f []cell) bool {
	for progress := true; progress; {
		progress = false
		for i := range f {
			var b [8]byte
			binary.LittleEndian.PutUint64(b[:], f[i].id)
			if (f[i].count == 1 || f[i].count == -1) && xxhash.Sum64(b[:]) == f[i].hash {
				add(f, f[i].id, -f[i].count)
				progress = true
			}
		}
	}
	for i := range f {
		if f[i] != (cell{}) {
			return false
		}
	}
	return true
}

// recordID is the identity of a record at a version.
func recordID(name int, version platform.Version) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("service.s%d@%d", name, version))
}

// filterBytes returns the bytes of all filters that are sent until one decodes.
func filterBytes(n, d int) int {
	sent := 0
	for cells := 12; ; cells *= 2 {
		f := make([]cell, cells/hashCounts*hashCounts)
		for i := range n {
			add(f, recordID(i, 1), 1)
			if i < d {
				add(f, recordID(i, 2), -1)
			} else {
				add(f, recordID(i, 1), -1)
			}
		}
		sent += len(f) * cellBytes
		if decodes(f) {
			return sent
		}
	}
}

func BenchmarkDifference(b *testing.B) {
	const n = 10000
	for _, d := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("records=%d/changed=%d", n, d), func(b *testing.B) {
			byFilter := 0
			for b.Loop() {
				byFilter = filterBytes(n, d)
			}
			byVersion := proto.Size(&controlpb.RecordsRequest{Kind: ObjectKind, After: uint64(n)})
			b.ReportMetric(float64(byFilter), "filter_bytes")
			b.ReportMetric(float64(byVersion), "version_bytes")
		})
	}
}
