package standin

import (
	"context"
	"maps"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/redwingtally/redwingtally/platform"
)

// A Copy is a copy of the objects of a Platform.
type Copy struct {
	objects map[string]platform.Object
	version platform.Version
}

// copyInterval is the least time between two copies that a Platform keeps for putRestore, and copyRetention how long
// it keeps them.
const (
	copyInterval  = 200 * time.Millisecond
	copyRetention = 15 * time.Second
)

// timedCopy is a copy with its time.
type timedCopy struct {
	at time.Time
	Copy
}

// keepCopy keeps a copy if the last one is old enough. The lock must be held.
func (p *Platform) keepCopy() {
	now := time.Now()
	if n := len(p.copies); n > 0 && now.Sub(p.copies[n-1].at) < copyInterval {
		return
	}
	for len(p.copies) > 0 && now.Sub(p.copies[0].at) > copyRetention {
		p.copies = p.copies[1:]
	}
	p.copies = append(p.copies, timedCopy{now, p.copyLocked()})
}

// Copy returns a copy of all objects.
func (p *Platform) Copy() Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.copyLocked()
}

// copyLocked is Copy for callers that hold the lock.
func (p *Platform) copyLocked() Copy {
	return Copy{objects: maps.Clone(p.objects), version: p.version}
}

// Restore replaces all objects by a copy and begins the next era. Versions that were given out
// after the copy are given out again.
func (p *Platform) Restore(c Copy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects, p.version = maps.Clone(c.objects), c.version
	if p.objects == nil { // a copy of an empty platform
		p.objects = map[string]platform.Object{}
	}
	p.era++
	close(p.changed)
	p.changed = make(chan struct{})
}

// RestoreRequest asks a Platform to come back from the newest copy that is at least Age old.
type RestoreRequest struct {
	// Age is the least age of the copy, in nanoseconds in JSON.
	Age time.Duration `json:"age"`
}

func (p *Platform) putRestore(_ context.Context, c *app.RequestContext) {
	var r RestoreRequest
	if !decodeBody(c, &r) {
		return
	}
	p.mu.Lock()
	var found *timedCopy
	for i := range p.copies {
		if time.Since(p.copies[i].at) >= r.Age {
			found = &p.copies[i]
		}
	}
	p.mu.Unlock()
	if found == nil {
		abort(c, "no copy is that old", 404)
		return
	}
	p.Restore(found.Copy)
}
