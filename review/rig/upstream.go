package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	healthPath = "/health"
	// heartbeat is the interval at which an upstream writes its entry.
	heartbeat = 870 * time.Millisecond
	// defaultTimeout is how long a request may wait for a slot that states no deadline.
	defaultTimeout = time.Second
)

// upstreamOptions configure an upstream.
type upstreamOptions struct {
	name    string
	service string
	keyed   bool
	slots   int
	queue   int
	// work is the mean time of a request; times vary between a half and one and a half of it.
	work time.Duration
	// longShare is the share of the requests that take longWork. Their bodies are read when this work is done.
	longShare float64
	longWork  time.Duration
	// cold is the time after its start for which the upstream takes twice as long.
	cold time.Duration
	// quietOrders leaves grants and releases out of the record.
	quietOrders bool
}

// A grant is a range of keys that an upstream holds from since until until.
type grant struct {
	keys         platform.KeyRange
	fence        uint64
	since, until time.Time
}

// work is a run in progress. heldUntil is when the upstream's hold on its key would have run out, as of its last grant.
type work struct {
	id        string
	key       uint16
	heldUntil time.Time
}

// An upstream is a stand-in server that follows the users' pages.
type upstream struct {
	upstreamOptions
	record   *record
	listener net.Listener
	store    *platform.Client
	born     time.Time
	cancel   context.CancelFunc

	mu      sync.Mutex
	freed   chan struct{} // closed and replaced when a slot becomes free
	running map[int]work  // runs in progress, by number
	lastRun int
	waiting int
	grants  []grant
	seen    []grant // the grant with the highest fencing token for each key
	history []grant // grants that have ended
	runs    map[string]int
	worked  map[string]workTime // by request
	answers int
	copies  int
	// copyShare is the share of the answers of which the upstream sends a second copy late.
	copyShare float64
	// copyOrders reports whether these include answers to grants and releases.
	copyOrders bool
	conns      map[net.Conn]bool
	// granted is called for each grant that the upstream accepts. It may be nil.
	granted func(u *upstream, g grant)
}

// An answer is the response to one request.
type answer struct {
	status int
	header http.Header
	body   string
}

// startUpstream starts an upstream that registers itself in the store.
func startUpstream(r *record, store netip.AddrPort, o upstreamOptions) (*upstream, error) {
	ln, err := net.Listen("tcp4", freeAddress().String())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	u := &upstream{
		upstreamOptions: o, record: r, listener: ln, store: platform.NewClient(store), born: time.Now(), cancel: cancel,
		freed: make(chan struct{}), running: map[int]work{}, runs: map[string]int{}, worked: map[string]workTime{}, conns: map[net.Conn]bool{},
	}
	go u.accept()
	go u.register(ctx)
	return u, nil
}

func (u *upstream) address() netip.AddrPort {
	return netip.MustParseAddrPort(u.listener.Addr().String())
}

// close ends the upstream.
func (u *upstream) close() {
	u.cancel()
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		_ = c.Close()
	}
}

// register writes the entry at every heartbeat until ctx ends.
func (u *upstream) register(ctx context.Context) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		entry, err := platform.EncodeTarget(platform.Target{
			Name: u.name, StartedAt: u.born, Service: u.service, Address: u.address(), DataCentre: "leicester", Slots: u.slots,
			WarmupLeft: u.coldLeft(),
		}, sequence)
		if err == nil {
			_, _ = u.store.Put(ctx, platform.KindTargets, u.name, entry, platform.Unconditional()) // the next heartbeat repeats it
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// coldLeft returns how much longer the upstream is slow after its start.
func (u *upstream) coldLeft() time.Duration { return max(0, u.cold-time.Since(u.born)) }

func (u *upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()
		go u.serveConn(c)
	}
}

// serveConn answers the requests of one connection in turn. A second copy of an answer is sent once the next request
// has arrived on the connection, before its own answer.
func (u *upstream) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	var second []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if u.isLong(r) {
			if !u.serveLong(c, r) {
				return
			}
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if second != nil {
			if _, err := c.Write(second); err != nil {
				return
			}
			second = nil
		}
		a := u.answer(r, body)
		data := a.encode()
		if _, err := c.Write(data); err != nil {
			return
		}
		if u.sendsCopy(r, a) {
			second = data
		}
	}
}

// sendsCopy reports whether a second copy of an answer is due.
func (u *upstream) sendsCopy(r *http.Request, a *answer) bool {
	id := platform.ReadRequestMeta(r.Header).ID
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.copyShare == 0 || id == "" && !u.copyOrders {
		return false
	}
	if id == "" {
		id = r.URL.Path
	}
	u.answers++
	if rand.Float64() >= u.copyShare {
		return false
	}
	u.copies++
	u.record.addf("copy: %s will send its answer %d to %s a second time", u.name, a.status, id)
	return true
}

func (a *answer) encode() []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status)) // a buffer returns no error
	a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	_ = a.header.Write(&b) // neither does it here
	b.WriteString("\r\n" + a.body)
	return b.Bytes()
}

// newAnswer returns an answer of this upstream to r with what meta states.
func (u *upstream) newAnswer(status int, r *http.Request, meta platform.ResponseMeta) *answer {
	a := &answer{status: status, header: http.Header{}}
	meta.ID = platform.ReadRequestMeta(r.Header).ID
	platform.SetResponseMeta(a.header, u.name, meta)
	return a
}

// notRun returns an answer that states that the request has not run.
func (u *upstream) notRun(status int, r *http.Request) *answer {
	u.record.addf("refuse: %s answers %d not run to %s", u.name, status, platform.ReadRequestMeta(r.Header).ID)
	return u.newAnswer(status, r, platform.ResponseMeta{NotExecuted: true})
}

// answer handles one request.
func (u *upstream) answer(r *http.Request, body []byte) *answer {
	if expected := platform.ExpectedTarget(r.Header); expected != "" && expected != u.name {
		return u.newAnswer(http.StatusMisdirectedRequest, r, platform.ResponseMeta{})
	}
	switch r.URL.Path {
	case healthPath:
		return u.newAnswer(http.StatusOK, r, platform.ResponseMeta{})
	case platform.GrantPath, platform.ReleasePath:
		return u.order(r, body)
	}
	return u.serve(r, body)
}

// order handles a grant or a release.
func (u *upstream) order(r *http.Request, body []byte) *answer {
	o, err := platform.DecodeGrant(bytes.NewReader(body))
	if err != nil {
		return u.newAnswer(http.StatusBadRequest, r, platform.ResponseMeta{})
	}
	if r.URL.Path == platform.ReleasePath {
		u.release(o.Keys)
		a := u.newAnswer(http.StatusOK, r, platform.ResponseMeta{})
		platform.SetHandoverToken(a.header, "handover-"+u.name)
		return a
	}
	status, g := u.accepts(o)
	if u.granted != nil && status == http.StatusOK {
		u.granted(u, g)
	}
	if !u.quietOrders {
		u.record.addf("grant: %s answers %d to keys %d-%d fence %d hold %s", u.name, status, o.Keys.First, o.Keys.Last, o.FencingToken, o.TTL)
	}
	return u.newAnswer(status, r, platform.ResponseMeta{})
}

func overlap(a, b platform.KeyRange) bool { return a.First <= b.Last && b.First <= a.Last }

// accepts handles a grant and returns the status of its answer, and what the upstream holds by it.
func (u *upstream) accepts(o platform.Grant) (int, grant) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, s := range u.seen {
		if overlap(s.keys, o.Keys) && s.fence > o.FencingToken {
			return http.StatusConflict, grant{}
		}
	}
	now := time.Now()
	g := grant{keys: o.Keys, fence: o.FencingToken, since: now, until: now.Add(o.TTL)}
	u.seen = append(cut(u.seen, o.Keys), g)
	u.endGrants(now, o.Keys)
	u.grants = append(u.grants, g)
	for run, w := range u.running {
		if o.Keys.First <= w.key && w.key <= o.Keys.Last {
			w.heldUntil = g.until
			u.running[run] = w
		}
	}
	return http.StatusOK, g
}

// endGrants ends the grants of a range of keys. The caller holds u.mu.
func (u *upstream) endGrants(now time.Time, keys platform.KeyRange) {
	for _, g := range u.grants {
		if overlap(g.keys, keys) {
			ended := g
			ended.keys = platform.KeyRange{First: max(g.keys.First, keys.First), Last: min(g.keys.Last, keys.Last)}
			if now.Before(ended.until) {
				ended.until = now
			}
			u.history = append(u.history, ended)
		}
	}
	u.grants = cut(u.grants, keys)
}

// release gives up keys and returns when the work on them has ended.
func (u *upstream) release(keys platform.KeyRange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.quietOrders {
		u.record.addf("release: %s gives up keys %d-%d", u.name, keys.First, keys.Last)
	}
	u.endGrants(time.Now(), keys)
	for u.works(keys) {
		freed := u.freed
		u.mu.Unlock()
		<-freed
		u.mu.Lock()
	}
}

// works reports whether a request for one of the keys runs. The caller holds u.mu.
func (u *upstream) works(keys platform.KeyRange) bool {
	for _, w := range u.running {
		if keys.First <= w.key && w.key <= keys.Last {
			return true
		}
	}
	return false
}

// cut removes a range of keys from grants.
func cut(grants []grant, keys platform.KeyRange) []grant {
	var out []grant
	for _, g := range grants {
		if !overlap(g.keys, keys) {
			out = append(out, g)
			continue
		}
		if g.keys.First < keys.First {
			lower := g
			lower.keys.Last = keys.First - 1
			out = append(out, lower)
		}
		if g.keys.Last > keys.Last {
			upper := g
			upper.keys.First = keys.Last + 1
			out = append(out, upper)
		}
	}
	return out
}

// holds reports whether the upstream holds a key.
func (u *upstream) holds(key uint16) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.holdsLocked(key)
}

func (u *upstream) holdsLocked(key uint16) bool { return time.Now().Before(u.heldUntil(key)) }

// heldUntil returns when the grant of a key ends, or the zero time if there is none. The caller holds u.mu.
func (u *upstream) heldUntil(key uint16) time.Time {
	for _, g := range u.grants {
		if g.keys.First <= key && key <= g.keys.Last {
			return g.until
		}
	}
	return time.Time{}
}

// serve runs a client's request, or refuses it.
func (u *upstream) serve(r *http.Request, body []byte) *answer {
	meta := platform.ReadRequestMeta(r.Header)
	if meta.ID == "" {
		return u.notRun(http.StatusBadRequest, r)
	}
	timeout := meta.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	run, status := u.begin(meta, time.Now().Add(timeout))
	if status != http.StatusOK {
		return u.notRun(status, r)
	}
	took := time.Duration(float64(u.work) * (0.5 + rand.Float64()))
	if u.coldLeft() > 0 {
		took *= 2
	}
	time.Sleep(took)
	u.end(run, meta.ID)
	a := u.newAnswer(http.StatusOK, r, platform.ResponseMeta{Signed: true})
	a.body = fmt.Sprintf("%s read %d bytes of %s\n", u.name, len(body), meta.ID)
	return a
}

// begin waits for a slot and begins a run. It returns the number of the run, or the status of the refusal.
func (u *upstream) begin(meta platform.RequestMeta, deadline time.Time) (run, status int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.keyed && (!meta.HasKey || !u.holdsLocked(meta.Key)) {
		return 0, http.StatusMisdirectedRequest
	}
	if len(u.running) >= u.slots && u.waiting >= u.queue {
		return 0, http.StatusServiceUnavailable
	}
	for len(u.running) >= u.slots {
		freed := u.freed
		u.waiting++
		u.mu.Unlock()
		select {
		case <-freed:
		case <-time.After(time.Until(deadline)):
		}
		u.mu.Lock()
		u.waiting--
		if !time.Now().Before(deadline) {
			return 0, http.StatusServiceUnavailable
		}
	}
	if u.keyed && !u.holdsLocked(meta.Key) {
		return 0, http.StatusMisdirectedRequest
	}
	u.lastRun++
	u.running[u.lastRun] = work{id: meta.ID, key: meta.Key, heldUntil: u.heldUntil(meta.Key)}
	u.runs[meta.ID]++
	u.worked[meta.ID] = workTime{began: time.Now()}
	u.record.addf("run: %s begins %s, run %d of it here", u.name, meta.ID, u.runs[meta.ID])
	return u.lastRun, http.StatusOK
}

// end ends a run.
func (u *upstream) end(run int, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.running, run)
	u.worked[id] = workTime{began: u.worked[id].began, ended: time.Now()}
	close(u.freed)
	u.freed = make(chan struct{})
	u.record.addf("ran: %s ends %s", u.name, id)
}

// setCopyShare sets the share of the answers of which the upstream sends a second copy.
func (u *upstream) setCopyShare(share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.copyShare = share
}
