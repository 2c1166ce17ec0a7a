package edge

import (
	"sync"
	"syscall"
	"time"

	"github.com/redwingtally/redwingtally/settings"
)

const (
	// connMemory is what a connection is charged without its request: buffers and stacks.
	connMemory = 32 << 10
	// receiveBuffer is the receive buffer of a caller's connection in the kernel. Unread bytes count as memory of the process.
	// It allows 0.8 MB/s with a round trip of 20 ms.
	receiveBuffer = 16 << 10
	// ownDescriptors are for the store, other hosts, files and idle connections to targets; at most a quarter of all. Of the
	// others each caller has two: its connection and one to a target.
	ownDescriptors = 256
	// minConnIdle is how long a connection must have been idle before it is closed for another one. The first request of a new
	// connection may be under way.
	minConnIdle = 100 * time.Millisecond
	// minHeaderWait is how long the header of a request must have been incomplete before its connection is closed for another
	// one. A lost packet is sent again within a second.
	minHeaderWait = time.Second
	// minBodyWait is how long less than minBodyProgress bytes must have arrived of a body before its connection is closed for
	// another one.
	minBodyWait     = time.Second
	minBodyProgress = 512
	// minWriteWait is how long a caller must not have taken the bytes of a response before its connection is closed for another
	// one.
	minWriteWait = 2 * time.Second
	// crowdedShare is the part of the bound that is kept free by closing connections for others.
	crowdedShare = 16
	// endedAtOnce is the number of connections that are closed for one new one, so that those that are being closed soon leave
	// room. At most a part of the bound, endingShare, may be open beyond it meanwhile.
	endedAtOnce = 2
	endingShare = 128
	// connLogInterval is the least time between two log lines about the bound.
	connLogInterval = time.Second
)

// maxCallerConns returns the bound on callers' connections of a process that may open so many descriptors.
func maxCallerConns(s settings.Edge, descriptors uint64) int {
	if s.MaxConnections > 0 {
		return s.MaxConnections
	}
	forCallers := (descriptors - min(ownDescriptors, descriptors/4)) / 2
	return max(1, int(min(uint64(planMemory(s).conns/connMemory), forCallers)))
}

// descriptorLimit returns the number of descriptors that the process may open.
func descriptorLimit() uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 1024 // the usual limit
	}
	return limit.Cur
}

// connActivity is what a connection does.
type connActivity int

const (
	connBusy          connActivity = iota // with a request
	connIdle                              // has sent nothing, or nothing since its last request
	connReceiving                         // the header of a request is incomplete
	connReceivingBody                     // the body of a request is incomplete
	connWriting                           // the caller does not take the response
	connEnding                            // is being closed
)

// A connView is what is known of a connection for the bound.
type connView struct {
	activity connActivity
	since    time.Time
}

// chooseConnToEnd returns the index of the connection that is closed for a new one, -1 if there is none, and whether it
// has to be one at all: connections that are being closed make room. It answers callers that open connections and send no
// request, or only the beginning of one: the longest idle connection is closed first, then the one with the longest incomplete header,
// then the one whose body has stalled longest, then the one whose response has not been read for the longest time.
func chooseConnToEnd(now time.Time, conns []connView, limit int) (index int, needed bool) {
	waits := map[connActivity]time.Duration{connIdle: minConnIdle, connReceiving: minHeaderWait, connReceivingBody: minBodyWait, connWriting: minWriteWait}
	longest := map[connActivity]int{}
	ending := 0
	for i, c := range conns {
		if c.activity == connEnding {
			ending++
			continue
		}
		wait, mayEnd := waits[c.activity]
		if !mayEnd || now.Sub(c.since) < wait {
			continue
		}
		if at, found := longest[c.activity]; !found || c.since.Before(conns[at].since) {
			longest[c.activity] = i
		}
	}
	if len(conns)-ending < limit {
		return -1, false
	}
	for _, activity := range []connActivity{connIdle, connReceiving, connReceivingBody, connWriting} {
		if at, found := longest[activity]; found {
			return at, true
		}
	}
	return -1, true
}

// connBound is the bound on the connections of a connServer.
type connBound struct {
	limit    int // 0 means none
	mu       sync.Mutex
	loggedAt time.Time
	closed   int // since the last log line
}

// crowded returns the number of open connections from which some are closed for others.
func (b *connBound) crowded() int { return b.limit - b.limit/crowdedShare }

// giveWay reports whether a connection is closed after its responses so that other callers find room. One with a backlog is if
// nearly as many as the bound allows are open, and remains so.
func (c *trackedConn) giveWay(backlog bool) bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if backlog && !c.givesWay && s.bound.limit > 0 && len(s.conns)-s.givingWay > s.bound.crowded() {
		c.givesWay = true
		s.givingWay++
	}
	return c.givesWay
}

// recordEnded counts a connection that was closed because of the bound, and logs it at a bounded rate.
func (s *connServer) recordEnded(reason string) {
	s.metrics.ConnectionsEnded.WithLabelValues(reason).Inc()
	b := &s.bound
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed++
	if now := time.Now(); now.Sub(b.loggedAt) >= connLogInterval {
		s.log.Warn(s.part+": Bound on connections was reached.", "limit", b.limit, "open", len(s.open()), "closed", b.closed, "reason", reason)
		b.loggedAt, b.closed = now, 0
	}
}

// makeRoom closes a connection if few may still be opened, and reports whether another one may be. Connections that are being
// closed count until they are, which takes a while for callers that get an answer. It is called by the goroutine that accepts
// connections.
func (s *connServer) makeRoom() bool {
	if s.bound.limit == 0 {
		return true
	}
	s.mu.Lock()
	count := len(s.conns)
	s.mu.Unlock()
	if count < s.bound.crowded() {
		return true
	}
	now, conns := time.Now(), s.open()
	views := make([]connView, len(conns))
	for i, c := range conns {
		views[i] = c.view()
	}
	ended := 0
	for range endedAtOnce {
		index, _ := chooseConnToEnd(now, views, s.bound.crowded())
		if index < 0 {
			break
		}
		conns[index].evict(views[index].activity)
		s.recordEnded(endReasons[views[index].activity])
		views[index].activity = connEnding
		ended++
	}
	if count < s.bound.limit || ended > 0 && count < s.bound.limit+max(1, s.bound.limit/endingShare) {
		return true
	}
	s.recordEnded("refused")
	return false
}

// endReasons are the reasons for which connections are closed for others, by what they did.
var endReasons = map[connActivity]string{connIdle: "idle", connReceiving: "header", connReceivingBody: "body", connWriting: "response"}

// view returns what a connection does.
func (c *trackedConn) view() connView {
	v, memory := c.viewWithoutBody()
	if v.activity == connBusy && memory != nil && memory.isIncomplete() { // without c.mu, as the budget may interrupt reads
		v.activity = connReceivingBody
	}
	return v
}

// viewWithoutBody is view for all but bodies. It returns the memory of the request in progress too.
func (c *trackedConn) viewWithoutBody() (connView, *heldRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ending || c.evicted:
		return connView{activity: connEnding}, nil
	case !c.writingSince.IsZero():
		return connView{connWriting, c.writingSince}, nil
	case !c.awaitsRequest():
		return connView{connBusy, c.progressed}, c.memory
	case c.receiving:
		return connView{connReceiving, c.receivingSince}, nil
	case c.used:
		return connView{connIdle, c.idleSince}, nil
	}
	return connView{connIdle, c.accepted}, nil
}

// recordProgress records that n bytes were received. The caller holds c.mu.
func (c *trackedConn) recordProgress(n int) {
	if c.progress += n; c.progress >= minBodyProgress {
		c.progressed, c.progress = time.Now(), 0
	}
}

// evict closes a connection that has been idle, unless bytes have arrived just now, one whose request is incomplete, or one whose
// response is not read. Nothing of an incomplete request was passed on.
func (c *trackedConn) evict(seen connActivity) {
	memory := c.beginEviction(seen)
	if memory == nil || !memory.refuseIncomplete() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
}

// beginEviction ends the read of a connection that awaits a request. It returns the memory of a request that is incomplete, or nil.
func (c *trackedConn) beginEviction(seen connActivity) *heldRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case seen == connIdle:
		c.end()
		return nil
	case seen == connWriting:
		c.evicted = true
		_ = c.SetWriteDeadline(expired) // fails only on a closed connection
		return nil
	case c.awaitsRequest():
		c.evicted = true
		_ = c.TCPConn.SetReadDeadline(expired) // fails only on a closed connection
	case seen != connReceivingBody:
		return nil // the header has been completed just now
	}
	return c.memory
}
