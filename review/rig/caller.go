package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	callerHost = "bookings.example"
	// callerTimeout is the time for which a caller waits.
	callerTimeout = 2500 * time.Millisecond
)

// A load is a number of callers that send requests in turn over kept connections.
type load struct {
	record *record
	path   string
	keys   []uint16
	pause  time.Duration
	bytes  int
	method string
	// pick returns the key of the next request; if it is nil, the callers use keys in turn.
	pick func() uint16
	// timeout is the time for which the callers wait.
	timeout time.Duration

	mu       sync.Mutex
	sent     int
	statuses map[string]int // by id; 0 means that no complete answer came
	answers  []callerAnswer
}

// A callerAnswer is what a caller got for a request.
type callerAnswer struct {
	id       string
	daemon   *daemon
	sent, at time.Time
	status   int  // 0 means that no complete answer came
	signed   bool // the answer is an upstream's
}

func newLoad(r *record, path string, keys []uint16, pause time.Duration, bytes int) *load {
	return &load{record: r, path: path, keys: keys, pause: pause, bytes: bytes, method: http.MethodPost, timeout: callerTimeout, statuses: map[string]int{}}
}

// run sends requests with callers callers to each daemon until ctx ends, and waits for the last answers.
func (l *load) run(ctx context.Context, daemons []*daemon, callers int) {
	var wg sync.WaitGroup
	for _, d := range daemons {
		for i := range callers {
			wg.Go(func() { l.call(ctx, d, i) })
		}
	}
	wg.Wait()
}

func (l *load) call(ctx context.Context, d *daemon, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: l.timeout}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		key := uint16(0)
		if l.pick != nil {
			key = l.pick()
		} else {
			key = l.keys[(n+caller)%len(l.keys)]
		}
		l.send(client, d, fmt.Sprintf("%s-%s-%d-%d", strings.Trim(l.path, "/"), d.host, caller, n), key)
		select {
		case <-ctx.Done():
		case <-time.After(l.pause):
		}
	}
}

// send sends one request and records its answer.
func (l *load) send(client *http.Client, d *daemon, id string, key uint16) {
	r, err := http.NewRequest(l.method, "http://"+d.entry.String()+l.path+id, bytes.NewReader(make([]byte, l.bytes)))
	if err != nil {
		l.record.addf("error: %v", err)
		return
	}
	r.GetBody = nil // net/http must not send the request again
	r.Host = callerHost
	platform.SetRequestMeta(r.Header, platform.RequestMeta{ID: id, Timeout: l.timeout, Key: key, HasKey: true})
	l.record.addf("send: %s key %d to %s", id, key, d.host)
	a := callerAnswer{id: id, daemon: d, sent: time.Now()}
	if resp, err := client.Do(r); err == nil {
		_, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			a.status, a.signed = resp.StatusCode, platform.ReadResponseMeta(resp.StatusCode, resp.Header).Signed
		}
	}
	a.at = time.Now()
	l.record.addf("answer: %s %d", id, a.status)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	l.statuses[id] = a.status
	l.answers = append(l.answers, a)
}

// summary returns how many requests ended with each status.
func (l *load) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[int]int{}
	for _, s := range l.statuses {
		counts[s]++
	}
	return fmt.Sprintf("%d requests sent, by status %v", l.sent, counts)
}
