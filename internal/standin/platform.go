package standin

import (
	"context"
	"encoding/json"
	"net/netip"
	"sort"
	"strconv"
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
}

// Counts are the calls that a stand-in platform has had.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Hosts   uint64 `json:"hosts"`
}

// A Platform is a stand-in for the platform's object API.
type Platform struct {
	http    *httpd.Server
	mu      sync.Mutex
	objects map[string]platform.Object
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
	e.GET("/objects/:kind", p.faulty(p.list))
	e.GET("/objects/:kind/:name", p.faulty(p.get))
	e.PUT("/objects/:kind/:name", p.faulty(p.put))
	e.DELETE("/objects/:kind/:name", p.faulty(p.put))
	e.GET("/watch/:kind", p.faulty(p.watch))
	e.GET("/hosts", p.faulty(p.listHosts))
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
	p.faults = f
}

// SetHosts sets the list of hosts; callers see it after the lag.
func (p *Platform) SetHosts(hosts []platform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
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

func key(c *app.RequestContext) string {
	return c.Param("kind") + "/" + c.Param("name")
}

func (p *Platform) get(_ context.Context, c *app.RequestContext) {
	p.mu.Lock()
	p.counts.Reads++
	obj, ok := p.objects[key(c)]
	p.mu.Unlock()
	if !ok || obj.Deleted {
		c.AbortWithMsg("not found", 404)
		return
	}
	c.JSON(200, obj)
}

func (p *Platform) list(_ context.Context, c *app.RequestContext) {
	p.mu.Lock()
	p.counts.Reads++
	out := p.since(c.Param("kind"), 0, false)
	p.mu.Unlock()
	c.JSON(200, out)
}

func (p *Platform) since(kind string, after platform.Version, deleted bool) []platform.Object {
	out := []platform.Object{}
	for _, obj := range p.objects {
		if obj.Kind == kind && obj.Version > after && (deleted || !obj.Deleted) {
			out = append(out, obj)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}

func (p *Platform) put(_ context.Context, c *app.RequestContext) {
	body, err := c.Body()
	remove := string(c.Method()) == "DELETE"
	if err != nil || !remove && !json.Valid(body) || len(body) > maxValue {
		c.AbortWithMsg("malformed value", 400)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	have := p.objects[key(c)]
	if want, ok := c.GetQuery("if_version"); ok {
		current := have.Version
		if have.Deleted {
			current = 0
		}
		if want != strconv.FormatUint(uint64(current), 10) {
			c.AbortWithMsg("conflict", 409)
			return
		}
	}
	p.version++
	obj := platform.Object{Kind: c.Param("kind"), Name: c.Param("name"), Version: p.version, Deleted: remove}
	obj.Value = append(obj.Value, body...)
	p.objects[key(c)] = obj
	close(p.changed)
	p.changed = make(chan struct{})
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		c.AbortWithMsg("answer lost", 504)
		return
	}
	c.JSON(200, obj)
}

func (p *Platform) watch(ctx context.Context, c *app.RequestContext) {
	after, err := strconv.ParseUint(c.Query("after"), 10, 64)
	wait, werr := time.ParseDuration(c.Query("wait"))
	if err != nil || werr != nil {
		c.AbortWithMsg("malformed watch", 400)
		return
	}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		out := p.since(c.Param("kind"), platform.Version(after), true)
		changed := p.changed
		down := p.faults.Down
		p.mu.Unlock()
		if len(out) > 0 && !down {
			c.JSON(200, out)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			c.JSON(200, out)
			return
		case <-ctx.Done():
			return
		}
	}
}

func (p *Platform) listHosts(_ context.Context, c *app.RequestContext) {
	p.mu.Lock()
	p.counts.Hosts++
	hosts := []platform.Host{}
	for _, h := range p.hosts {
		if time.Since(h.at) >= p.lag {
			hosts = h.hosts
		}
	}
	p.mu.Unlock()
	c.JSON(200, hosts)
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
