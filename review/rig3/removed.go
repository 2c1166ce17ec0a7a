package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	drainTime = 2 * time.Second // drainMs
	// servesOn is how long an upstream serves after its entry was removed: drainMs and a little longer.
	servesOn = drainTime + 200*time.Millisecond
	// The store is down twice, one time right after the other.
	firstDown  = 8 * time.Second
	secondDown = 4500 * time.Millisecond
	// settles is the time from the end of an outage until machines are in touch, and some more.
	settles      = 5 * time.Second
	depositWork  = 100 * time.Millisecond
	upstreams    = 10
	clients      = 50
	meanInterval = 500 * time.Millisecond // of the requests of a client
)

// deposits is the one service and its route.
var deposits = class{"POST", "/deposit/1", 2500 * time.Millisecond}

func configuration() (json.RawMessage, error) {
	return platform.EncodeConfiguration(&platform.Configuration{
		Version: 12,
		Routes: []platform.Route{{
			Name: "deposit-confirm", Host: "shop.example", Prefix: "/deposit/", Shares: []platform.WeightedService{{Service: "ledgerwax", Weight: 1}},
			Repeat: platform.AtMostOnce, Attempts: 3, Timeout: deposits.deadline, Objective: 400 * time.Millisecond,
		}},
		Services: []platform.Service{{Name: "ledgerwax", MaxConnections: 110, HealthPath: healthPath}},
		Limits:   platform.Limits{HeaderBytes: 16 << 10, BodyBytes: 8 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second},
	})
}

// removed plays case 13. It reports whether requests reached upstreams later than drainMs after their entries were removed.
func removed(r *os.File, trouble bool) (bool, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, address, err := startStore()
	if err != nil {
		return false, err
	}
	runs := newJournal()
	var ups []*upstream
	for i := range upstreams {
		u, err := startUpstream(s, fmt.Sprint("i-", i), "ledgerwax", 2, depositWork, runs)
		if err != nil {
			return false, err
		}
		ups = append(ups, u)
	}
	config, err := configuration()
	if err != nil {
		return false, err
	}
	s.put(platform.KindConfiguration, platform.NameConfiguration, config)
	daemons, err := startDaemons(dir, address, 2)
	if err != nil {
		return false, err
	}
	defer daemons[0].kill()
	if err := daemons[1].terminate(); err != nil {
		return false, err
	}
	rec := &record{}
	stop := startClients(rec, daemons[0].entry)
	time.Sleep(3 * time.Second)
	if trouble {
		note(r, "store down for %s and %s", firstDown, secondDown)
		s.setDown(true)
		time.Sleep(firstDown + secondDown)
		s.setDown(false)
	}
	time.Sleep(settles)
	late := 0
	for _, u := range ups[:4] {
		at := u.leave(s, servesOn)
		time.Sleep(servesOn + time.Second)
		after := u.arrivedAfter(at)
		n := 0
		for _, d := range after {
			if d > drainTime {
				n++
			}
		}
		late += n
		last := time.Duration(0)
		if len(after) > 0 {
			last = after[len(after)-1]
		}
		note(r, "%s: entry removed; %d requests arrived after that, the last %d ms later; %d later than drainMs", u.id, len(after), last.Milliseconds(), n)
	}
	stop()
	writeOutcomes(r, rec, runs)
	note(r, "requests that arrived later than drainMs after the removal: %d", late)
	return late > 0, nil
}

// startDaemons starts n daemons and waits until all are ready.
func startDaemons(dir, store string, n int) ([]*daemon, error) {
	var out []*daemon
	for i := range n {
		d, err := newDaemon(dir, fmt.Sprint("edge-", i), store, 284)
		if err == nil {
			err = d.start()
		}
		if err != nil {
			killAll(out)
			return nil, err
		}
		out = append(out, d)
	}
	for _, d := range out {
		if err := d.awaitReady(); err != nil {
			killAll(out)
			return nil, err
		}
	}
	return out, nil
}

func killAll(daemons []*daemon) {
	for _, d := range daemons {
		d.kill()
	}
}

// startClients starts clients that send deposits until the function that it returns is called.
func startClients(rec *record, entry string) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			c := &client{entry: entry}
			defer c.close()
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(meanInterval))):
				}
				c.send(rec, deposits)
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// note writes a line of the record.
func note(r *os.File, format string, args ...any) {
	_, _ = fmt.Fprintf(r, format+"\n", args...) // the exit code tells the result too
}

// writeOutcomes writes what was sent, answered and run.
func writeOutcomes(r *os.File, rec *record, runs *journal) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	counts := map[int]int{}
	for _, o := range rec.outcomes {
		counts[o.status]++
		if o.status != 200 {
			note(r, "%s at %s: status %d after %d ms, run by %v", o.id, o.at.Format("15:04:05.000"), o.status, o.took.Milliseconds(), runs.of(o.id))
		}
	}
	note(r, "sent: %d, answers by status (0: none, -1: no connection): %v", len(rec.outcomes), counts)
}
