package directory

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// A Notice is the statement of a target, in one of its responses, that it leaves. It holds for the process that made it, also
// while the entry of that process says otherwise, and not for one that starts later under the same name.
type Notice struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// StartedAt is the start of the process, as in its entry.
	StartedAt time.Time `json:"born"`
}

// NoticeOf returns the notice of the process that a target's entry describes.
func NoticeOf(t platform.Target) Notice {
	return Notice{Service: t.Service, Target: t.Name, StartedAt: t.StartedAt.UTC()}
}

// noticeRetention is how long a notice is kept after its target was last listed. Entries of before may arrive late.
const noticeRetention = time.Minute

// Notices holds the notices that a host has received or was told of by others. It is safe for concurrent use.
type Notices struct {
	mu      sync.Mutex
	entries map[Notice]*noticeEntry
	version uint64
}

// noticeEntry is what a host keeps of one notice.
type noticeEntry struct {
	version  uint64    // version of the table at which the notice was added; 0 if other hosts need not be told
	listedAt time.Time // when the target was last listed
}

// NewNotices returns an empty table.
func NewNotices() *Notices { return &Notices{entries: map[Notice]*noticeEntry{}} }

// Add records a notice and reports whether it is new.
func (n *Notices) Add(now time.Time, notice Notice) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.entries[notice] != nil {
		return false
	}
	n.version++
	n.entries[notice] = &noticeEntry{version: n.version, listedAt: now}
	return true
}

// Has reports whether the process that a target's entry describes has stated that it leaves.
func (n *Notices) Has(t platform.Target) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entries[NoticeOf(t)] != nil
}

// Confirm records that the entry of a target says that it leaves. Other hosts learn of it with the entry.
func (n *Notices) Confirm(t platform.Target) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.entries[NoticeOf(t)]; e != nil {
		e.version = 0
	}
}

// Version returns a number that grows with every added notice.
func (n *Notices) Version() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version
}

// AddedSince returns the notices that were added after a version of this table and that no entry has confirmed, and the version
// up to which they are complete.
func (n *Notices) AddedSince(version uint64) ([]Notice, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Notice
	for notice, e := range n.entries {
		if e.version > version {
			out = append(out, notice)
		}
	}
	slices.SortFunc(out, func(a, b Notice) int { return strings.Compare(a.Target, b.Target) })
	return out, n.version
}

// Retain deletes the notices of targets that have not been listed for some time. listed reports whether the process that made
// a notice is listed now.
func (n *Notices) Retain(now time.Time, listed func(Notice) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for notice, e := range n.entries {
		switch {
		case listed(notice):
			e.listedAt = now
		case now.Sub(e.listedAt) > noticeRetention:
			delete(n.entries, notice)
		}
	}
}
