package edge

import (
	"slices"
	"time"

	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/quarantine"
)

const (
	// restartTime is the time within which a target that restarts after a crash writes its entry.
	restartTime = 3 * time.Second
	// maxBrokenRequests is the number of requests from which restarts adds no further one.
	maxBrokenRequests = 1024
)

// brokenRequest is a request whose connection to a target broke while the target's address accepted connections.
type brokenRequest struct {
	crash     quarantine.Crash // if the target has crashed
	id        string
	target    string
	service   string
	startedAt time.Time // of the target, according to its entry
	brokenAt  time.Time
}

// restarts holds requests whose target may have crashed and restarted at its address at once. Connections to it are not refused
// then, but its entry names a later start soon after. The zero value is empty. It is not safe for concurrent use.
type restarts struct {
	broken []brokenRequest
}

// add adds a request whose connection broke, and removes those that broke restartTime before.
func (r *restarts) add(b brokenRequest) {
	r.remove(func(old brokenRequest) bool { return b.brokenAt.Sub(old.brokenAt) > restartTime })
	if len(r.broken) < maxBrokenRequests {
		r.broken = append(r.broken, b)
	}
}

// take removes the requests to earlier incarnations of a target, and returns those whose connections broke within restartTime.
func (r *restarts) take(now time.Time, t platform.Target) []brokenRequest {
	var out []brokenRequest
	r.remove(func(b brokenRequest) bool {
		if b.target != t.Name || b.service != t.Service || !t.StartedAt.After(b.startedAt) {
			return false
		}
		if now.Sub(b.brokenAt) <= restartTime {
			out = append(out, b)
		}
		return true
	})
	return out
}

// forget removes the requests with a fingerprint. It is called after a target has responded to one.
func (r *restarts) forget(f quarantine.Fingerprint) {
	r.remove(func(b brokenRequest) bool { return b.crash.Fingerprint == f })
}

func (r *restarts) remove(f func(brokenRequest) bool) {
	r.broken = slices.DeleteFunc(r.broken, f)
}
