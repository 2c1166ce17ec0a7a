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

// This file compares two ways for two daemons to find out which records differ,
// by the number of bytes sent. The first is an invertible Bloom filter, as in the
// paper compared in docs/DESIGN.md: it finds the difference of two sets without
// prior context and is sent with doubled size until it decodes. The second uses
// the store version that each record has anyway.

// bucket is an element of a filter: the number of ids, and the XOR of the ids
// and of their hashes.
type bucket struct {
	count    int32
	id, hash uint64
}

const (
	// bucketBytes is the encoded size of a bucket in bytes.
	bucketBytes = 20
	// hashCount is the number of buckets that each id is added to.
	hashCount = 3
)

// bucketIndex returns the index of the i-th bucket of an id in a filter of n
// buckets. The filter has one partition per hash function.
func bucketIndex(id uint64, i, n int) int {
	var b [9]byte
	binary.LittleEndian.PutUint64(b[:], id)
	b[8] = byte(i)
	part := n / hashCount
	return i*part + int(xxhash.Sum64(b[:])%uint64(part))
}

// addID adds an id to f, or removes it if sign is -1.
func addID(f []bucket, id uint64, sign int32) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], id)
	for i := range hashCount {
		c := &f[bucketIndex(id, i, len(f))]
		c.count += sign
		c.id ^= id
		c.hash ^= xxhash.Sum64(b[:])
	}
}

// decodes reports whether all ids in f can be recovered. It removes the
// recovered ids from f.
func decodes(f []bucket) bool {
	for progress := true; progress; {
		progress = false
		for i := range f {
			var b [8]byte
			binary.LittleEndian.PutUint64(b[:], f[i].id)
			if (f[i].count == 1 || f[i].count == -1) && xxhash.Sum64(b[:]) == f[i].hash {
				addID(f, f[i].id, -f[i].count)
				progress = true
			}
		}
	}
	for i := range f {
		if f[i] != (bucket{}) {
			return false
		}
	}
	return true
}

// recordID returns the set element for a record at a version.
func recordID(name int, version platform.Version) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("service.s%d@%d", name, version))
}

// filterBytes returns the total size of the filters sent until one decodes, for
// n records of which d differ.
func filterBytes(n, d int) int {
	sent := 0
	for buckets := 12; ; buckets *= 2 {
		f := make([]bucket, buckets/hashCount*hashCount)
		for i := range n {
			addID(f, recordID(i, 1), 1)
			if i < d {
				addID(f, recordID(i, 2), -1)
			} else {
				addID(f, recordID(i, 1), -1)
			}
		}
		sent += len(f) * bucketBytes
		if decodes(f) {
			return sent
		}
	}
}

// BenchmarkDifference reports the bytes sent with filters and with versions.
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
