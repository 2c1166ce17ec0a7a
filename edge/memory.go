package edge

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/metric"
	"github.com/redwingtally/redwingtally/settings"
)

// Shares of the process's memory for what a host holds for callers, in parts of 32. Each has its own, so that none takes the
// room of another. The remainder is for the program itself and for what the garbage collector has not freed yet.
const (
	memoryParts = 32
	// connShare is for connections; the bound on their number follows from it.
	connShare = 8
	// smallRequestShare is for small requests: one on each connection.
	smallRequestShare = 4
	// largeRequestShare is for the other requests.
	largeRequestShare = 5
	aheadShare        = 2
	responseShare     = 3
)

// maxCallerMemory is the part of the process's memory up to which the shares leave room for the program and its garbage.
const maxCallerMemory = 0.7

// memoryPlan divides the memory of a process. All sizes are in bytes.
type memoryPlan struct {
	conns         int64
	requests      int64 // headers and bodies
	largeRequests int64 // the part of requests that large ones may use
	ahead         int64 // requests that are handled before the one ahead of them on their connection has ended
	responses     int64
}

// planMemory returns the plan for a process with the given settings.
func planMemory(s settings.Edge) memoryPlan {
	part := int64(s.MemoryMB) << 20 / memoryParts
	p := memoryPlan{
		conns: connShare * part, requests: (smallRequestShare + largeRequestShare) * part, largeRequests: largeRequestShare * part,
		ahead: aheadShare * part, responses: responseShare * part,
	}
	if s.MaxConnections > 0 {
		p.conns = int64(s.MaxConnections) * connMemory
	}
	if s.BodyMemoryMB > 0 {
		p.requests = int64(s.BodyMemoryMB) << 20
		p.largeRequests = p.requests * largeRequestShare / (smallRequestShare + largeRequestShare)
	}
	return p
}

// sum returns the bytes of all shares.
func (p memoryPlan) sum() int64 { return p.conns + p.requests + p.ahead + p.responses }

// fits reports whether the shares leave room for the program in the memory of the process. Settings may exceed it.
func (p memoryPlan) fits(s settings.Edge) bool {
	return float64(p.sum()) <= maxCallerMemory*float64(int64(s.MemoryMB)<<20)
}

// A responseBudget bounds the bytes of responses that are in memory. A response that gets no memory is passed on as it
// arrives.
type responseBudget struct {
	total int64
	held  atomic.Int64
	gauge prometheus.Gauge
}

// newResponseBudget returns a budget of total bytes.
func newResponseBudget(total int64, metrics *metric.Set) *responseBudget {
	return &responseBudget{total: total, gauge: metrics.ResponseBytes.WithLabelValues()}
}

// Reserve reserves n bytes, or returns false if they are not available.
func (b *responseBudget) Reserve(n int64) bool {
	if b.held.Add(n) > b.total {
		b.held.Add(-n)
		return false
	}
	b.gauge.Add(float64(n))
	return true
}

// Release gives n reserved bytes back.
func (b *responseBudget) Release(n int64) {
	b.held.Add(-n)
	b.gauge.Sub(float64(n))
}

var _ exchange.Memory = (*responseBudget)(nil)
