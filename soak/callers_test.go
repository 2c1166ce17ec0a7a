package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// seen is what callers saw.
type seen struct {
	mu       sync.Mutex
	answers  []answer
	problems []string
}

type answer struct {
	id     string
	once   bool
	status int // 0 when there was no answer
}

func (s *seen) problem(format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, a...))
}

// keys are what callers ask for; some are close together.
var keys = []uint16{0, 1, 2, 300, 9000, 21845, 21846, 40000, 65535}

// call sends callers' requests to one daemon over kept connections until ctx ends.
func (s *system) call(ctx context.Context, d *daemon, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 3 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d-%d", d.name, caller, n)
		s.one(ctx, client, d, id, keys[(n+caller)%len(keys)], n%2 == 1)
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// one sends one request and checks the answer.
func (s *system) one(ctx context.Context, client *http.Client, d *daemon, id string, key uint16, once bool) int {
	method, path := http.MethodGet, "/stock/1"
	if once {
		method, path = http.MethodPost, "/deposit/1"
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.entry.String()+path, strings.NewReader("body of "+id))
	if err != nil {
		s.seen.problem("%v", err)
		return 0
	}
	req.GetBody = nil // the library must not send a request again
	req.Host = "quotes.example"
	platform.SetRequestMeta(req.Header, platform.RequestMeta{ID: id, Timeout: 2 * time.Second, Key: key, HasKey: true})
	a := answer{id: id, once: once}
	if resp, err := client.Do(req); err == nil {
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			a.status = resp.StatusCode
		}
		if err == nil && resp.StatusCode == http.StatusOK && !strings.HasSuffix(string(body), "from "+id+"\n") {
			s.seen.problem("request %s got the answer %q", id, body)
		}
	}
	s.seen.mu.Lock()
	s.seen.answers = append(s.seen.answers, a)
	s.seen.mu.Unlock()
	return a.status
}

// runs returns what all servers have run.
func (s *system) runs() []standin.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := append([]standin.Run(nil), s.ended...)
	for _, v := range s.servers {
		if !v.stopped {
			out = append(out, v.Runs()...)
		}
	}
	return out
}

// check compares what callers saw with what servers ran.
func (s *system) check() []string {
	runs := s.runs()
	times := map[string]int{}
	byKey := map[int][]standin.Run{}
	for _, r := range runs {
		times[r.ID]++
		if r.Fence > 0 {
			byKey[r.Key] = append(byKey[r.Key], r)
		}
	}
	s.seen.mu.Lock()
	defer s.seen.mu.Unlock()
	problems := append([]string(nil), s.seen.problems...)
	for _, a := range s.seen.answers {
		if a.once && times[a.id] > 1 {
			problems = append(problems, fmt.Sprintf("request %s ran %d times", a.id, times[a.id]))
		}
		refused := a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421
		if a.once && refused && times[a.id] > 0 {
			problems = append(problems, fmt.Sprintf("request %s was refused with %d and has run", a.id, a.status))
		}
	}
	for key, list := range byKey {
		problems = append(problems, owners(key, list)...)
	}
	return problems
}

// owners looks for runs of a key that show two owners.
func owners(key int, runs []standin.Run) []string {
	sort.Slice(runs, func(i, j int) bool { return runs[i].Begun.Before(runs[j].Begun) })
	var problems []string
	for i := 1; i < len(runs); i++ {
		a, b := runs[i-1], runs[i]
		if a.Server != b.Server && b.Fence <= a.Fence {
			problems = append(problems, fmt.Sprintf("key %d: %s ran %s with token %d after %s ran %s with token %d",
				key, b.Server, b.ID, b.Fence, a.Server, a.ID, a.Fence))
		}
	}
	return problems
}
