package coordination

import (
	"time"

	"github.com/redwingtally/redwingtally/directory"
)

// addNotices adds to a report the notices that the coordinator lacks and returns the version of this host's table up to which they
// are complete.
func (m *Member) addNotices(r *Report) uint64 {
	m.mu.Lock()
	exchanged := m.exchanged
	m.mu.Unlock()
	known := exchanged.receivedNotices
	r.KnownNotices = &known
	notices, version := m.options.Notices.AddedSince(exchanged.sentNotices)
	r.Notices = notices
	return version
}

// mergeNotices applies notices that another host sent and reports whether any is new.
func (m *Member) mergeNotices(notices []directory.Notice) bool {
	var added []directory.Notice
	for _, n := range notices {
		n.StartedAt = n.StartedAt.UTC()
		if m.options.Notices.Add(time.Now(), n) {
			added = append(added, n)
		}
	}
	if len(added) > 0 {
		m.options.NoticesAdded(added)
	}
	return len(added) > 0
}

// mergeNotices applies the notices of a report and wakes the waiting reports if any is new.
func (l *leader) mergeNotices(notices []directory.Notice) {
	if l.member.mergeNotices(notices) {
		l.notify()
	}
}

// hasNoticesFor reports whether the sender of a report lacks notices. Earlier builds state no version and learn of none.
func (l *leader) hasNoticesFor(r *Report) bool {
	if r.KnownNotices == nil {
		return false
	}
	notices, _ := l.noticesSince(r)
	return len(notices) > 0
}

// noticesSince returns the notices that the sender of a report lacks, and the version up to which they are complete.
func (l *leader) noticesSince(r *Report) ([]directory.Notice, uint64) {
	if r.KnownNotices == nil {
		return nil, 0
	}
	known := *r.KnownNotices
	if r.KnownRateLimits.Process != l.process {
		known = 0 // a version of another process's table
	}
	return l.member.options.Notices.AddedSince(known)
}
