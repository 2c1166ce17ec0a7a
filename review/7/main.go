// Command 7 shows that daemons go on sending requests to an upstream that says in its answers that it leaves.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/review/rig2"
)

const (
	service = "ledgerwax"
	prefix  = "/wude451/"
	work    = 100 * time.Millisecond
	// perSecond is a rate of deposits between the mean and the crest of wickgate's waves. It is half of what the upstreams can do.
	perSecond = 60
	daemons   = 2
	// outage is how long the store is down; the longest in wickgate is 9 s.
	outage = 8 * time.Second
	// notice is the time from the notice to the end of the upstreams of a zone that is taken away.
	notice = 2500 * time.Millisecond
)

func main() { rig2.Main("7", run) }

// zones are those of the upstreams.
var zones = []string{"leicester", "leicester", "leicester", "derby", "derby", "derby"}

// leavingZone is the zone that is taken away.
const leavingZone = "leicester"

// A deposit is a request that was sent to a daemon.
type deposit struct {
	id     string
	daemon int
	sentAt time.Time
	answer rig2.Answer
}

func run(d *rig2.Deployment) {
	upstreams := make([]*rig2.Upstream, 0, len(zones))
	for i, zone := range zones {
		upstreams = append(upstreams, d.StartUpstream(fmt.Sprintf("i-%d", i+1), service, zone, work))
	}
	d.Configure(configuration())
	d.StartDaemons(daemons)
	stop, deposits := make(chan struct{}), make(chan []deposit)
	go func() { deposits <- send(d, stop) }()
	time.Sleep(4 * time.Second)
	if d.Trouble {
		d.Store.SetFaults(standin.PlatformFaults{Unavailable: true})
		d.Logf("the store is down: it answers every call with 503")
	}
	time.Sleep(time.Second)
	for _, u := range upstreams {
		if u.Zone == leavingZone {
			u.Leave()
		}
	}
	time.Sleep(notice)
	for _, u := range upstreams {
		if u.Zone == leavingZone {
			u.Stop()
			d.Logf("%s is gone", u.Name)
		}
	}
	time.Sleep(outage - time.Second - notice)
	d.Store.SetFaults(standin.PlatformFaults{})
	d.Logf("the store answers")
	time.Sleep(3 * time.Second)
	close(stop)
	judge(d, upstreams, <-deposits)
}

func configuration() *platform.Configuration {
	return &platform.Configuration{
		Version: 12,
		Routes: []platform.Route{{
			Name: "deposits", Host: rig2.HostName, Prefix: prefix, Repeat: platform.AtMostOnce, Timeout: 1200 * time.Millisecond,
			Objective: 400 * time.Millisecond, Rank: 1, Attempts: 2, Shares: []platform.WeightedService{{Service: service, Weight: 1}},
		}},
		Services: []platform.Service{{Name: service, HealthPath: "/health", MaxConnections: 110}},
		Limits:   platform.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// send sends deposits to all daemons in turn until stop is closed, and returns them once all have ended.
func send(d *rig2.Deployment, stop <-chan struct{}) []deposit {
	var (
		mu  sync.Mutex
		wg  sync.WaitGroup
		out []deposit
	)
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			return out
		case <-tick.C:
		}
		wg.Go(func() {
			x := deposit{id: fmt.Sprintf("deposit-%d", n), daemon: n % daemons, sentAt: time.Now()}
			x.answer = rig2.Send(d.Daemons[x.daemon].Entry, rig2.Request{
				Method: http.MethodPost, Path: prefix + "confirm", ID: x.id, Body: strings.Repeat("d", 400), Deadline: 2500 * time.Millisecond,
			})
			d.Logf("%s at %s, sent %d ms before, gets %s, Server-Leaving %q", x.id, d.Daemons[x.daemon].Name, time.Since(x.sentAt).Milliseconds(), x.answer, x.answer.Header.Get("Server-Leaving"))
			mu.Lock()
			defer mu.Unlock()
			out = append(out, x)
		})
	}
}

// judge checks that no deposit that was sent later than drainMs after a daemon passed on an answer with Server-Leaving reaches that
// upstream from that daemon.
func judge(d *rig2.Deployment, upstreams []*rig2.Upstream, deposits []deposit) {
	type pair struct {
		daemon   int
		upstream string
	}
	told, sent := map[pair]time.Time{}, map[string]deposit{}
	for _, x := range deposits {
		sent[x.id] = x
		if x.answer.Header.Get("Server-Leaving") == "" {
			continue
		}
		p := pair{x.daemon, strings.TrimPrefix(x.answer.Stamp, "stamp-")}
		if at := x.sentAt.Add(x.answer.Took); told[p].IsZero() || at.Before(told[p]) {
			told[p] = at
		}
	}
	late, lost := 0, 0
	for _, u := range upstreams {
		for _, a := range u.Arrivals() {
			x, ok := sent[a.ID]
			at := told[pair{x.daemon, u.Name}]
			if !ok || at.IsZero() || x.sentAt.Before(at.Add(rig2.Drain)) {
				continue
			}
			late++
			d.Logf("%s reached %s from %s; it was sent %d ms after that daemon had passed on Server-Leaving", a.ID, u.Name, d.Daemons[x.daemon].Name,
				x.sentAt.Sub(at).Milliseconds())
			if a.Ran && x.answer.Status != http.StatusOK {
				lost++
				d.Logf("%s had begun to run and the client got %s", a.ID, x.answer)
			}
		}
	}
	d.Logf("%d deposits were sent, %d pairs of daemon and leaving upstream", len(deposits), len(told))
	d.Check(fmt.Sprintf("no request reached a leaving upstream later than drainMs after its daemon was told (%d did, %d of them were lost at work)", late, lost), late == 0)
}
