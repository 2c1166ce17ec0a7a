package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// callerResults collects the responses that callers received and the
// violations found in them.
type callerResults struct {
	mu         sync.Mutex
	responses  []callResult
	violations []string
}

// callResult is the outcome of one request at its caller.
type callResult struct {
	call
	daemon  *daemon
	sent    time.Time
	kept    bool      // the connection had served a request before
	written time.Time // of the last byte of the request; zero if it was not written completely
	ended   time.Time // end of the response or of the connection
	status  int       // 0 if there was no complete response
	signed  bool      // the response is that of a target
	refused bool      // there was no connection
	leaving string    // the target that states in the response that it leaves
	err     error     // why there was no complete response
}

// call is a request to send.
type call struct {
	id         string
	path       string
	atMostOnce bool
	keyed      bool // the route is that of the keyed service
	key        uint16
	timeout    time.Duration
	body       string
	work       time.Duration // 0 means the target's default
	readDelay  time.Duration // time until the target reads the body
}

// shortCall returns a request that targets run at once.
func shortCall(id string, key uint16, atMostOnce bool) call {
	c := call{id: id, path: "/stock/1", keyed: true, key: key, timeout: 2 * time.Second, body: "body of " + id}
	if atMostOnce {
		c.path, c.keyed, c.atMostOnce = "/deposit/1", false, true
	}
	return c
}

func (r *callerResults) addViolationf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, a...))
}

// requestKeys are the keys of the callers' requests. Some are adjacent.
var requestKeys = []uint16{0, 1, 2, 300, 9000, 21845, 21846, 40000, 65535}

// sendRequests sends the requests of one caller to d over persistent connections
// until ctx ends.
func (s *system) sendRequests(ctx context.Context, d *daemon, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 3 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d-%d", d.name, caller, n)
		s.sendRequest(client, d, shortCall(id, requestKeys[(n+caller)%len(requestKeys)], n%2 == 1))
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// sendRequest sends one request, checks the body of a 200 response and returns the
// status, or 0 if there was no complete response.
func (s *system) sendRequest(client *http.Client, d *daemon, c call) int {
	method := http.MethodGet
	if c.atMostOnce {
		method = http.MethodPost
	}
	result := callResult{call: c, daemon: d, sent: time.Now()}
	var written atomic.Int64 // the request may be written by the transport after its response
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { result.kept = info.Reused },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				written.Store(time.Now().UnixNano())
			}
		},
	})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.entryAddress.String()+c.path, strings.NewReader(c.body))
	if err != nil {
		s.results.addViolationf("%v", err)
		return 0
	}
	req.GetBody = nil // keeps net/http from resending the request
	req.Host = "quotes.example"
	platform.SetRequestMeta(req.Header, platform.RequestMeta{ID: c.id, Timeout: c.timeout, Key: c.key, HasKey: true})
	if c.work > 0 {
		req.Header.Set(standin.ServiceTimeHeader, c.work.String())
	}
	if c.readDelay > 0 {
		req.Header.Set(standin.ReadDelayHeader, c.readDelay.String())
	}
	resp, err := client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			result.status, result.signed = resp.StatusCode, platform.ReadResponseMeta(resp.StatusCode, resp.Header).Signed
			result.leaving = leavingTarget(resp, string(body))
		}
		if err == nil && resp.StatusCode == http.StatusOK && !strings.HasSuffix(string(body), "from "+c.id+"\n") {
			s.results.addViolationf("request %s received the response %q", c.id, body)
		}
	}
	result.ended, result.err, result.refused = time.Now(), err, isRefused(err)
	if ns := written.Load(); ns > 0 {
		result.written = time.Unix(0, ns)
	}
	result.body = ""
	s.results.mu.Lock()
	s.results.responses = append(s.results.responses, result)
	s.results.mu.Unlock()
	return result.status
}

// allRuns returns the runs of all targets, including stopped ones.
func (s *system) allRuns() []standin.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := append([]standin.Run(nil), s.stoppedRuns...)
	for _, tg := range s.targets {
		if !tg.stopped {
			out = append(out, tg.Runs()...)
		}
	}
	return out
}

// findViolations compares the callers' responses with the targets' runs. An
// at-most-once request must run at most once, and not at all if it was rejected.
func (s *system) findViolations() []string {
	runs := s.allRuns()
	times := map[string]int{}
	byKey := map[int][]standin.Run{}
	for _, r := range runs {
		times[r.ID]++
		if r.FencingToken > 0 {
			byKey[r.Key] = append(byKey[r.Key], r)
		}
	}
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	violations := append([]string(nil), s.results.violations...)
	for _, result := range s.results.responses {
		if result.atMostOnce && times[result.id] > 1 {
			violations = append(violations, fmt.Sprintf("request %s ran %d times", result.id, times[result.id]))
		}
		rejected := result.status == 429 || result.status == 503 || result.status == 408 || result.status == 421
		if result.atMostOnce && rejected && times[result.id] > 0 {
			violations = append(violations, fmt.Sprintf("request %s was rejected with status %d but has run", result.id, result.status))
		}
	}
	violations = append(violations, s.lostRequests(runs, s.results.responses)...)
	violations = append(violations, s.rateLimitViolations()...)
	violations = append(violations, lateRequests(runs, s.results.responses)...)
	for key, keyRuns := range byKey {
		violations = append(violations, ownershipViolations(key, keyRuns)...)
	}
	return violations
}

// holdingInterval is the time between two checks of which targets hold the keys.
const holdingInterval = 20 * time.Millisecond

// watchHoldings records a violation when two running targets hold a key at the same time, until ctx ends.
func (s *system) watchHoldings(ctx context.Context) {
	tick := time.NewTicker(holdingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, key := range requestKeys {
			s.checkHoldings(key)
		}
	}
}

// checkHoldings records a violation if two running targets hold a key.
func (s *system) checkHoldings(key uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first *target
	for _, tg := range s.targets {
		token, ok := tg.Holds(key)
		if tg.stopped || !ok {
			continue
		}
		if first == nil {
			first = tg
			continue
		}
		if earlier, still := first.Holds(key); still { // it has held the key while tg was checked
			s.results.mu.Lock()
			s.results.violations = append(s.results.violations, fmt.Sprintf("key %d is held by %s with token %d and by %s with token %d", key, first.Name(), earlier, tg.Name(), token))
			s.results.mu.Unlock()
		}
	}
}

// ownershipViolations returns the changes of a key's owner that were not fenced:
// the new owner ran a request without a higher fencing token.
func ownershipViolations(key int, runs []standin.Run) []string {
	sort.Slice(runs, func(i, j int) bool { return runs[i].StartedAt.Before(runs[j].StartedAt) })
	var violations []string
	for i := 1; i < len(runs); i++ {
		previous, current := runs[i-1], runs[i]
		if previous.Server != current.Server && current.FencingToken <= previous.FencingToken {
			violations = append(violations, fmt.Sprintf("key %d: %s ran %s with fencing token %d after %s ran %s with fencing token %d",
				key, current.Server, current.ID, current.FencingToken, previous.Server, previous.ID, previous.FencingToken))
		}
	}
	return violations
}
