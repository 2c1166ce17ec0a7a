package standin

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/redwingtally/redwingtally/internal/httpd"
	"github.com/redwingtally/redwingtally/platform"
)

// maxValue is the greatest size of a value in bytes.
const maxValue = 1 << 20

// hostLag is how far the list of hosts lags by default.
const hostLag = 2 * time.Second

// PlatformOptions configure a stand-in platform.
type PlatformOptions struct {
	// HostLag is how far the list of hosts lags; 0 means two seconds.
	HostLag time.Duration
}

// PlatformFaults are faults that a stand-in platform shows.
type PlatformFaults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Slow delays every call.
	Slow time.Duration `json:"slow"`
	// LoseAnswers is how many updates take effect without an answer.
	LoseAnswers int `json:"lose_answers"`
	// Lag makes reads that may lag miss all that changes from now on.
	Lag bool `json:"lag"`
}

// Counts are the calls that a stand-in platform has had.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Lagging uint64 `json:"lagging"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Hosts   uint64 `json:"hosts"`
}

// A Platform is a stand-in for the platform's object API.
type Platform struct {
	http    *httpd.Server
	mu      sync.Mutex
	objects map[string]platform.Object
	past    map[string]platform.Object // what lagging reads see while they lag
	version platform.Version
	changed chan struct{}
	hosts   []hostChange
	lag     time.Duration
	faults  PlatformFaults
	counts  Counts
}

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
		lag:     o.HostLag,
	}
	if p.lag == 0 {
		p.lag = hostLag
	}
	e := srv.Engine
	e.GET(platform.ObjectsPath+":kind", p.faulty(p.list))
	e.POST(platform.ObjectsPath+":kind", p.faulty(p.create))
	e.GET(platform.ObjectsPath+":kind/:name", p.faulty(p.get))
	e.PUT(platform.ObjectsPath+":kind/:name", p.faulty(p.replace))
	e.DELETE(platform.ObjectsPath+":kind/:name", p.faulty(p.remove))
	e.PUT("/standin/faults", p.putFaults)
	e.PUT("/standin/hosts", p.putHosts)
	e.GET("/standin/counts", p.getCounts)
	srv.Start()
	return p, nil
}

// Address returns the address of the platform.
func (p *Platform) Address() netip.AddrPort { return p.http.Address() }

// Stop stops the platform.
func (p *Platform) Stop(ctx context.Context) error { return p.http.Stop(ctx) }

// SetFaults sets the faults that the platform shows from now on.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Lag && !p.faults.Lag {
		p.past = maps.Clone(p.objects)
	}
	p.faults = f
}

// SetHosts sets the list of hosts; callers see it after the lag.
func (p *Platform) SetHosts(hosts []platform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.hosts = append(p.hosts, hostChange{at: time.Now(), hosts: hosts})
}

// Counts returns the calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// faulty wraps a handler with the platform's faults.
func (p *Platform) faulty(h app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		if f.Slow > 0 {
			pause(ctx, f.Slow)
		}
		if f.Down {
			c.AbortWithMsg("platform is down", 503)
			return
		}
		h(ctx, c)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (p *Platform) get(_ context.Context, c *app.RequestContext) {
	p.mu.Lock()
	obj, ok := p.read(c)[c.Param("kind")+"/"+c.Param("name")]
	p.mu.Unlock()
	if !ok || obj.Deleted {
		c.AbortWithMsg("not found", 404)
		return
	}
	c.JSON(200, platform.EncodeObject(obj))
}

func (p *Platform) list(ctx context.Context, c *app.RequestContext) {
	q, err := platform.ReadListQuery(c.Query)
	if err != nil {
		c.AbortWithMsg(err.Error(), 400)
		return
	}
	if q.Watch {
		p.watch(ctx, c, q)
		return
	}
	p.mu.Lock()
	p.listHosts(c.Param("kind"))
	objects, version := since(p.read(c), c.Param("kind"), 0, false), p.version
	p.mu.Unlock()
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	first := sort.Search(len(objects), func(i int) bool { return objects[i].Name > q.After })
	page := objects[first:]
	more := len(page) > pageLength
	c.JSON(200, platform.EncodeList(page[:min(len(page), pageLength)], more, version))
}

// pageLength is the number of objects in a page of a list.
const pageLength = 100

// read counts a read and returns the objects that it sees. The lock is held.
func (p *Platform) read(c *app.RequestContext) map[string]platform.Object {
	if !platform.AllowsStale(c.Query) {
		p.counts.Reads++
		return p.objects
	}
	p.counts.Lagging++
	if p.faults.Lag {
		return p.past
	}
	return p.objects
}

func since(all map[string]platform.Object, kind string, after platform.Version, deleted bool) []platform.Object {
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
	p.write(c, func(o, have platform.Object, ok bool) (platform.Object, int) {
		if ok {
			return have, 409
		}
		return platform.Object{Kind: o.Kind, Name: o.Name, Value: o.Value, Status: o.Status}, 200
	})
}

func (p *Platform) replace(_ context.Context, c *app.RequestContext) {
	p.write(c, func(o, have platform.Object, ok bool) (platform.Object, int) {
		switch {
		case !ok:
			return have, 404
		case o.Version != 0 && o.Version != have.Version:
			return have, 409
		}
		have.Value = o.Value
		return have, 200
	})
}

func (p *Platform) remove(_ context.Context, c *app.RequestContext) {
	p.write(c, func(_, have platform.Object, ok bool) (platform.Object, int) {
		condition := platform.ReadCondition(c.Query)
		switch {
		case !ok:
			return have, 404
		case !condition.Any && condition.Version != have.Version:
			return have, 409
		}
		have.Deleted = true
		return have, 200
	})
}

// write changes one object as change says, which returns it and a status.
func (p *Platform) write(c *app.RequestContext, change func(o, have platform.Object, ok bool) (platform.Object, int)) {
	var o platform.Object
	body, err := c.Body()
	if err == nil && len(body) > 0 {
		o, err = platform.DecodeObject(c.Param("kind"), body)
	}
	if err != nil || len(o.Value) > maxValue {
		c.AbortWithMsg("malformed object", 400)
		return
	}
	if name := c.Param("name"); name != "" {
		o.Name = name
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	key := c.Param("kind") + "/" + o.Name
	have, ok := p.objects[key]
	next, status := change(o, have, ok && !have.Deleted)
	if status != 200 {
		c.JSON(status, platform.EncodeObject(next))
		return
	}
	p.version++
	next.Version = p.version
	p.objects[key] = next
	close(p.changed)
	p.changed = make(chan struct{})
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		c.AbortWithMsg("answer lost", 504)
		return
	}
	c.JSON(200, platform.EncodeObject(next))
}

func (p *Platform) watch(ctx context.Context, c *app.RequestContext, q platform.ListQuery) {
	limit := time.NewTimer(q.Wait)
	defer limit.Stop()
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	for over := false; ; {
		p.mu.Lock()
		changes, version := since(p.objects, c.Param("kind"), q.From, true), p.version
		changed, down := p.changed, p.faults.Down
		p.mu.Unlock()
		if over || len(changes) > 0 && !down {
			c.JSON(200, platform.EncodeChanges(changes, version))
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			over = true
		case <-ctx.Done():
			return
		}
	}
}

// listHosts brings the objects that list hosts up to date with the lag.
func (p *Platform) listHosts(kind string) {
	if kind != platform.KindHosts {
		return
	}
	p.counts.Hosts++
	var hosts []platform.Host
	for _, h := range p.hosts {
		if time.Since(h.at) >= p.lag {
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
			continue // a list of plain fields always encodes
		}
		p.objects[kind+"/"+h.Name] = platform.Object{Kind: kind, Name: h.Name, Version: p.version, Value: value}
	}
}

func (p *Platform) putFaults(_ context.Context, c *app.RequestContext) {
	var f PlatformFaults
	if !decode(c, &f) {
		return
	}
	p.SetFaults(f)
}

func (p *Platform) putHosts(_ context.Context, c *app.RequestContext) {
	var hosts []platform.Host
	if !decode(c, &hosts) {
		return
	}
	p.SetHosts(hosts)
}

func (p *Platform) getCounts(_ context.Context, c *app.RequestContext) {
	c.JSON(200, p.Counts())
}

func decode(c *app.RequestContext, v any) bool {
	body, err := c.Body()
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		c.AbortWithMsg(err.Error(), 400)
		return false
	}
	return true
}
