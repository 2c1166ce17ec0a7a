package standin

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/redwingtally/redwingtally/internal/httpd"
	"github.com/redwingtally/redwingtally/platform"
)

// maxValueBytes is the maximum size of an object's value in bytes.
const maxValueBytes = 1 << 20

// defaultHostLag is the default of PlatformOptions.HostLag.
const defaultHostLag = 2 * time.Second

// PlatformOptions configure a Platform.
type PlatformOptions struct {
	// HostLag is the delay until a change of the list of hosts becomes visible; 0
	// means 2 s.
	HostLag time.Duration
	// Era is the era that the platform states in its responses, which grows with every Restore; 0
	// states none.
	Era uint64
}

// PlatformFaults are faults that a Platform injects.
type PlatformFaults struct {
	// Unavailable rejects every call.
	Unavailable bool `json:"down"`
	// Delay is the delay of every call.
	Delay time.Duration `json:"slow"`
	// LostResponses is the number of updates that take effect but are answered with a
	// gateway timeout.
	LostResponses int `json:"lose_answers"`
	// FreezeStaleReads freezes the objects that stale reads return.
	FreezeStaleReads bool `json:"lag"`
}

// CallCounts are the numbers of calls that a Platform has processed.
type CallCounts struct {
	// Reads counts reads of the current objects, including lists.
	Reads uint64 `json:"reads"`
	// StaleReads counts stale reads, including lists.
	StaleReads uint64 `json:"lagging"`
	Writes     uint64 `json:"writes"`
	Watches    uint64 `json:"watches"`
	// HostLists counts lists of hosts, which are counted as reads too.
	HostLists uint64 `json:"hosts"`
}

// A Platform is a stand-in for the platform's object API. It holds its objects in
// memory.
type Platform struct {
	http         *httpd.Server
	mu           sync.Mutex
	objects      map[string]platform.Object
	staleObjects map[string]platform.Object // returned by stale reads while they are frozen
	version      platform.Version
	era          uint64 // grows with every Restore
	copies       []timedCopy
	changed      chan struct{}
	hosts        []hostChange
	hostLag      time.Duration
	faults       PlatformFaults
	counts       CallCounts
}

// hostChange is a list of hosts and the time at which it was set.
type hostChange struct {
	at    time.Time
	hosts []platform.Host
}

// StartPlatform starts a stand-in platform on address.
func StartPlatform(address netip.AddrPort, o PlatformOptions) (*Platform, error) {
	srv, err := httpd.New(address)
	if err != nil {
		return nil, err
	}
	p := &Platform{
		http:    srv,
		objects: map[string]platform.Object{},
		changed: make(chan struct{}),
		hostLag: o.HostLag,
		era:     o.Era,
	}
	if p.hostLag == 0 {
		p.hostLag = defaultHostLag
	}
	e := srv.Engine
	e.GET(platform.ObjectsPath+":kind", p.withFaults(p.list))
	e.POST(platform.ObjectsPath+":kind", p.withFaults(p.create))
	e.GET(platform.ObjectsPath+":kind/:name", p.withFaults(p.get))
	e.PUT(platform.ObjectsPath+":kind/:name", p.withFaults(p.replace))
	e.DELETE(platform.ObjectsPath+":kind/:name", p.withFaults(p.remove))
	e.PUT("/standin/faults", p.putFaults)
	e.PUT("/standin/hosts", p.putHosts)
	e.PUT("/standin/restore", p.putRestore)
	e.GET("/standin/counts", p.getCounts)
	srv.Start()
	return p, nil
}

// Address returns the address on which the platform listens.
func (p *Platform) Address() netip.AddrPort { return p.http.Address() }

// Stop stops the platform and waits for open connections until ctx ends.
func (p *Platform) Stop(ctx context.Context) error { return p.http.Stop(ctx) }

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.FreezeStaleReads && !p.faults.FreezeStaleReads {
		p.staleObjects = maps.Clone(p.objects)
	}
	p.faults = f
}

// SetHosts sets the list of hosts, which becomes visible after the host lag.
func (p *Platform) SetHosts(hosts []platform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.hosts = append(p.hosts, hostChange{at: time.Now(), hosts: hosts})
}

// Counts returns the numbers of calls so far.
func (p *Platform) Counts() CallCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// withFaults returns a handler that injects the platform's faults before it calls h.
func (p *Platform) withFaults(h app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		p.mu.Lock()
		f := p.faults
		p.setEra(c)
		p.mu.Unlock()
		if f.Delay > 0 {
			sleep(ctx, f.Delay)
		}
		if f.Unavailable {
			abort(c, "platform is unavailable", 503)
			return
		}
		h(ctx, c)
	}
}

// setEra states the era in a response, unless it is 0. Every access to the objects states the era of what
// it has read or written. The lock must be held.
func (p *Platform) setEra(c *app.RequestContext) {
	if p.era > 0 {
		c.Header(platform.EraHeader, strconv.FormatUint(p.era, 10))
	}
}

// abort responds with an error status and a message, and keeps the headers.
func abort(c *app.RequestContext, message string, status int) {
	c.SetStatusCode(status)
	c.SetBodyString(message)
	c.Abort()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (p *Platform) get(_ context.Context, c *app.RequestContext) {
	p.mu.Lock()
	p.setEra(c)
	obj, ok := p.readObjects(c)[c.Param("kind")+"/"+c.Param("name")]
	p.mu.Unlock()
	if !ok || obj.Deleted {
		abort(c, "not found", 404)
		return
	}
	c.JSON(200, platform.EncodeObject(obj))
}

func (p *Platform) list(ctx context.Context, c *app.RequestContext) {
	q, err := platform.ReadListQuery(c.Query)
	if err != nil {
		abort(c, err.Error(), 400)
		return
	}
	if q.Watch {
		p.watch(ctx, c, q)
		return
	}
	p.mu.Lock()
	p.setEra(c)
	p.refreshHosts(c.Param("kind"))
	objects, version := changesSince(p.readObjects(c), c.Param("kind"), 0, false), p.version
	p.mu.Unlock()
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	first := sort.Search(len(objects), func(i int) bool { return objects[i].Name > q.After })
	page := objects[first:]
	more := len(page) > pageLength
	c.JSON(200, platform.EncodeList(page[:min(len(page), pageLength)], more, version))
}

// pageLength is the maximum number of objects in a page of a list.
const pageLength = 100

// readObjects counts a read and returns the objects visible to it, which are
// outdated for stale reads that a fault has frozen. The lock must be held.
func (p *Platform) readObjects(c *app.RequestContext) map[string]platform.Object {
	if !platform.AllowsStale(c.Query) {
		p.counts.Reads++
		return p.objects
	}
	p.counts.StaleReads++
	if p.faults.FreezeStaleReads {
		return p.staleObjects
	}
	return p.objects
}

// changesSince returns the objects of a kind with a version after the given one, in
// order of their versions. Deleted objects are included if deleted is set.
func changesSince(all map[string]platform.Object, kind string, after platform.Version, deleted bool) []platform.Object {
	out := []platform.Object{}
	for _, obj := range all {
		if obj.Kind == kind && obj.Version > after && (deleted || !obj.Deleted) {
			out = append(out, obj)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}

func (p *Platform) create(_ context.Context, c *app.RequestContext) {
	p.write(c, func(o, current platform.Object, ok bool) (platform.Object, int) {
		if ok {
			return current, 409
		}
		return platform.Object{Kind: o.Kind, Name: o.Name, Value: o.Value, Status: o.Status}, 200
	})
}

func (p *Platform) replace(_ context.Context, c *app.RequestContext) {
	p.write(c, func(o, current platform.Object, ok bool) (platform.Object, int) {
		switch {
		case !ok:
			return current, 404
		case o.Version != 0 && o.Version != current.Version:
			return current, 409
		}
		current.Value = o.Value
		return current, 200
	})
}

func (p *Platform) remove(_ context.Context, c *app.RequestContext) {
	p.write(c, func(_, current platform.Object, ok bool) (platform.Object, int) {
		condition := platform.ReadCondition(c.Query)
		switch {
		case !ok:
			return current, 404
		case !condition.Any && condition.Version != current.Version:
			return current, 409
		}
		current.Deleted = true
		return current, 200
	})
}

// write applies change to one object. change receives the object in the request and
// the current one, and returns the object to store and an HTTP status; any status but
// 200 rejects the write.
func (p *Platform) write(c *app.RequestContext, change func(o, current platform.Object, ok bool) (platform.Object, int)) {
	var o platform.Object
	body, err := c.Body()
	if err == nil && len(body) > 0 {
		o, err = platform.DecodeObject(c.Param("kind"), body)
	}
	if err != nil || len(o.Value) > maxValueBytes {
		abort(c, "object is malformed or larger than 1 MiB", 400)
		return
	}
	if name := c.Param("name"); name != "" {
		o.Name = name
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	p.setEra(c)
	key := c.Param("kind") + "/" + o.Name
	current, ok := p.objects[key]
	next, status := change(o, current, ok && !current.Deleted)
	if status != 200 {
		c.JSON(status, platform.EncodeObject(next))
		return
	}
	p.keepCopy()
	p.version++
	next.Version = p.version
	p.objects[key] = next
	close(p.changed)
	p.changed = make(chan struct{})
	if p.faults.LostResponses > 0 {
		p.faults.LostResponses--
		abort(c, "response lost by an injected fault", 504)
		return
	}
	c.JSON(200, platform.EncodeObject(next))
}

// watch responds when an object of the kind has changed, and after q.Wait at the
// latest. If the platform becomes unavailable meanwhile, it responds
// only after q.Wait.
func (p *Platform) watch(ctx context.Context, c *app.RequestContext, q platform.ListQuery) {
	limit := time.NewTimer(q.Wait)
	defer limit.Stop()
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	for expired := false; ; {
		p.mu.Lock()
		changes, version := changesSince(p.objects, c.Param("kind"), q.From, true), p.version
		changed, unavailable := p.changed, p.faults.Unavailable
		p.setEra(c)
		p.mu.Unlock()
		if q.From > version {
			abort(c, "this history is gone", 410)
			return
		}
		if expired || len(changes) > 0 && !unavailable {
			c.JSON(200, platform.EncodeChanges(changes, version))
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			expired = true
		case <-ctx.Done():
			return
		}
	}
}

// refreshHosts replaces the objects that represent hosts by the newest list that is
// older than the host lag. The lock must be held.
func (p *Platform) refreshHosts(kind string) {
	if kind != platform.KindHosts {
		return
	}
	p.counts.HostLists++
	var hosts []platform.Host
	for _, h := range p.hosts {
		if time.Since(h.at) >= p.hostLag {
			hosts = h.hosts
		}
	}
	for key, o := range p.objects {
		if o.Kind == kind {
			delete(p.objects, key)
		}
	}
	for _, h := range hosts {
		value, err := json.Marshal(h)
		if err != nil {
			continue // cannot occur: plain fields always encode
		}
		p.objects[kind+"/"+h.Name] = platform.Object{Kind: kind, Name: h.Name, Version: p.version, Value: value}
	}
}

func (p *Platform) putFaults(_ context.Context, c *app.RequestContext) {
	var f PlatformFaults
	if !decodeBody(c, &f) {
		return
	}
	p.SetFaults(f)
}

func (p *Platform) putHosts(_ context.Context, c *app.RequestContext) {
	var hosts []platform.Host
	if !decodeBody(c, &hosts) {
		return
	}
	p.SetHosts(hosts)
}

func (p *Platform) getCounts(_ context.Context, c *app.RequestContext) {
	c.JSON(200, p.Counts())
}

// decodeBody decodes the JSON body of a request into v. It responds with status 400
// and returns false if the body is malformed.
func decodeBody(c *app.RequestContext, v any) bool {
	body, err := c.Body()
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		abort(c, err.Error(), 400)
		return false
	}
	return true
}
