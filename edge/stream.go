package edge

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/scheduler"
)

const (
	// minStreamProgress is the number of bytes of a streamed body that have to arrive in minStreamStall while others wait for
	// its slot.
	minStreamProgress = 2 << 10
	minStreamStall    = 500 * time.Millisecond
	// streamDeferral is how long after a stall requests with streamed bodies give way to others.
	streamDeferral = 5 * time.Second
	// streamLogInterval is the least time between two log lines about streams that were ended.
	streamLogInterval = time.Second
)

// streamedRest is the rest of a streamed body. It calls ended when all was read.
type streamedRest struct {
	source io.Reader
	ended  func()

	mu       sync.Mutex
	complete bool
	reading  time.Time     // start of the read in progress; zero if there is none
	waited   time.Duration // for the caller, since the last progress
	received int           // bytes since the last progress
}

func (s *streamedRest) Read(p []byte) (int, error) {
	s.begin(time.Now())
	n, err := s.source.Read(p)
	s.finish(time.Now(), n, errors.Is(err, io.EOF))
	if errors.Is(err, io.EOF) {
		s.ended()
	}
	return n, err
}

// begin records the start of a read.
func (s *streamedRest) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = now
}

// finish records the end of a read of n bytes.
func (s *streamedRest) finish(now time.Time, n int, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete = s.complete || complete
	s.waited += now.Sub(s.reading)
	s.reading = time.Time{}
	if s.received += n; s.received >= minStreamProgress {
		s.waited, s.received = 0, 0
	}
}

// isComplete reports whether all was read.
func (s *streamedRest) isComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

// stalledFor returns for how long the host has waited for the caller since the last progress. The time in which the target
// doesn't read does not count.
func (s *streamedRest) stalledFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.complete || s.reading.IsZero() {
		return 0
	}
	return s.waited + now.Sub(s.reading)
}

// A stream is an attempt that sends a streamed body. Its fields are guarded by the service's mutex.
type stream struct {
	rest    *streamedRest
	target  string
	cancel  context.CancelFunc
	stalled bool // it was ended
}

// A streamView is what is known of a stream for the choice of the one to end.
type streamView struct {
	target  string
	stalled time.Duration
}

// chooseStreamToEnd returns the index of the stream whose slot is given to another request, or -1. It answers callers that begin
// long bodies, stop, and keep the slots of the targets: of the streams whose targets others wait for, the one that has
// stalled longest is ended.
func chooseStreamToEnd(streams []streamView, wanted func(target string) bool) int {
	longest := -1
	for i, s := range streams {
		if s.stalled < minStreamStall || !wanted(s.target) {
			continue
		}
		if longest < 0 || s.stalled > streams[longest].stalled {
			longest = i
		}
	}
	return longest
}

// watchStream makes the attempt of a request with a streamed body one that may be ended when it stalls. done ends that.
func (q *request) watchStream(ctx context.Context, target string) (_ context.Context, done func()) {
	rest, ok := q.body.rest.(*streamedRest)
	if !ok {
		return ctx, func() {}
	}
	attempt, cancel := context.WithCancel(ctx)
	q.stream = &stream{rest: rest, target: target, cancel: cancel}
	q.service.addStream(q.stream)
	return attempt, func() { q.service.removeStream(q.stream) } // the response is read with the same context
}

func (s *service) addStream(x *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[x] = struct{}{}
}

func (s *service) removeStream(x *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, x)
}

// streamStalled reports whether the attempt of a request was ended because its body had stalled.
func (q *request) streamStalled() bool {
	if q.stream == nil {
		return false
	}
	q.service.mu.Lock()
	defer q.service.mu.Unlock()
	return q.stream.stalled
}

// endStalledStream ends a stalled stream at one of the targets that are wanted. The caller holds s.mu.
func (s *service) endStalledStream(now time.Time, wanted func(target string) bool) {
	if len(s.streams) == 0 {
		return
	}
	streams, views := make([]*stream, 0, len(s.streams)), make([]streamView, 0, len(s.streams))
	for x := range s.streams {
		streams = append(streams, x)
		views = append(views, streamView{x.target, x.rest.stalledFor(now)})
	}
	i := chooseStreamToEnd(views, wanted)
	if i < 0 {
		return
	}
	streams[i].stalled = true
	streams[i].cancel()
	delete(s.streams, streams[i])
	s.scheduler.DeferStreamed(now.Add(streamDeferral))
	s.edge.metrics.StreamsStalled.WithLabelValues(s.name).Inc()
	s.stalledStreams++
	if now.Sub(s.streamsLoggedAt) >= streamLogInterval {
		s.edge.log.Warn("entry: Streamed bodies have stalled while others waited; their requests were ended.", "service", s.name, "target", views[i].target,
			"ended", s.stalledStreams, "stalled_ms", views[i].stalled.Milliseconds(), "queued", s.scheduler.Queued(), "streams", len(streams))
		s.stalledStreams, s.streamsLoggedAt = 0, now
	}
}

// endStreamFor ends a stalled stream at a target that a rejected request may use, for those that come after it. The caller holds
// s.mu.
func (s *service) endStreamFor(now time.Time, r *scheduler.Request) {
	s.endStalledStream(now, func(target string) bool { return s.scheduler.MayUse(r, target) })
}
