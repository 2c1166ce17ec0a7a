package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	unreadService = "lightbox"
	unreadLength  = 75 * time.Second
	// unreadBytes is the size of an upload's body.
	unreadBytes = 300 << 10
	// longWork is how long an upstream works at a long upload before it reads the rest of the body.
	longWork = 2200 * time.Millisecond
	// uploadTimeout is the caller's and the route's, and grace the time from SIGTERM to SIGKILL.
	uploadTimeout = 10 * time.Second
	grace         = 10 * time.Second
	// restartPause is the time from the start of a daemon to the SIGTERM of the next one.
	restartPause = 5 * time.Second
)

// isLong reports whether an upstream takes a request as a long one.
func (u *upstream) isLong(r *http.Request) bool {
	meta := platform.ReadRequestMeta(r.Header)
	return u.longShare > 0 && meta.ID != "" && platform.ExpectedTarget(r.Header) == u.name && rand.Float64() < u.longShare
}

// serveLong runs a long request, whose body it reads when its work is done. It reports whether the connection can be used
// further.
func (u *upstream) serveLong(c net.Conn, r *http.Request) bool {
	meta := platform.ReadRequestMeta(r.Header)
	run, status := u.begin(meta, time.Now().Add(meta.Timeout))
	if status != http.StatusOK {
		_, _ = c.Write(u.notRun(status, r).encode())
		return false
	}
	time.Sleep(u.longWork)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		u.record.addf("lost: %s was at work on %s and has read %d bytes of its body: %v", u.name, meta.ID, len(body), err)
	}
	u.end(run, meta.ID)
	if err != nil {
		return false
	}
	a := u.newAnswer(http.StatusOK, r, platform.ResponseMeta{Signed: true})
	a.body = fmt.Sprintf("%s read %d bytes of %s\n", u.name, len(body), meta.ID)
	_, err = c.Write(a.encode())
	return err == nil
}

// runUnread plays uploads while the daemons are stopped and started again in turn. Upstreams read the bodies of some uploads
// only after some time.
func runUnread(s *system, trouble bool) (broken bool, err error) {
	s.shutdown = grace
	config := &platform.Configuration{
		Version: 1,
		Routes: []platform.Route{{
			Name: "upload", Host: callerHost, Prefix: "/upload/", Repeat: platform.AtMostOnce, Timeout: uploadTimeout,
			Objective: 1500 * time.Millisecond, Rank: 1, Attempts: 2, Shares: []platform.WeightedService{{Service: unreadService, Weight: 1}},
		}},
		Services: []platform.Service{{Name: unreadService, HealthPath: healthPath, MaxConnections: 1800}},
		Limits:   platform.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	if err := s.configure(config); err != nil {
		return false, err
	}
	for i := range 12 {
		o := upstreamOptions{
			name: fmt.Sprintf("light-%d", i+1), service: unreadService, slots: 2, queue: 8, work: 130 * time.Millisecond, longShare: 0.2, longWork: longWork,
		}
		if _, err := s.addUpstream(o); err != nil {
			return false, err
		}
	}
	if err := s.addDaemons(3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), unreadLength)
	defer cancel()
	restarted := make(chan error, 1)
	go func() {
		if !trouble {
			restarted <- nil
			return
		}
		restarted <- s.restartInTurn(ctx)
	}()
	l := newLoad(s.record, "/upload/", []uint16{0}, 150*time.Millisecond, unreadBytes)
	l.timeout = uploadTimeout
	l.run(ctx, s.daemons, 6)
	if err := <-restarted; err != nil {
		return false, err
	}
	s.record.addf("summary: %s", l.summary())
	return s.judgeBrokenOff(l), nil
}

// restartInTurn stops one daemon after the other by SIGTERM and starts it again, until ctx ends.
func (s *system) restartInTurn(ctx context.Context) error {
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartPause):
		}
		d := s.daemons[i%len(s.daemons)]
		s.record.addf("stop: SIGTERM to %s", d.host)
		stopped := time.Now()
		if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		select {
		case <-d.exited:
		case <-time.After(grace):
			_ = d.cmd.Process.Kill()
			<-d.exited
		}
		d.stops = append(d.stops, workTime{stopped, time.Now()})
		s.record.addf("stop: %s has ended", d.host)
		if err := s.restart(d); err != nil {
			return err
		}
	}
}

// judgeBrokenOff reports whether a daemon gave a failure of its own, after it got SIGTERM and before the deadline, in
// place of the answer to a request at which an upstream was at work.
func (s *system) judgeBrokenOff(l *load) bool {
	lost, broken := 0, 0
	for _, a := range l.answers {
		if a.status == http.StatusOK || a.signed || a.at.Sub(a.sent) >= uploadTimeout {
			continue
		}
		for _, u := range s.upstreams {
			w, ok := u.workOn(a.id)
			if !ok || a.at.Before(w.began) || !a.at.Before(w.ended) {
				continue
			}
			lost++
			for _, stop := range a.daemon.stops {
				// Not counted: upstreams still at work in the last sixth of the grace time.
				if a.at.After(stop.began) && a.at.Before(stop.ended) && w.ended.Before(stop.began.Add(grace-grace/6)) {
					broken++
					s.record.addf("broken: LOST %s was answered %d after %d ms by %s, %d ms after its SIGTERM, while %s was at work on it",
						a.id, a.status, a.at.Sub(a.sent).Milliseconds(), a.daemon.host, a.at.Sub(stop.began).Milliseconds(), u.name)
				}
			}
		}
	}
	s.record.addf("verdict: LOST broken %d times; %d uploads broken off at any time", broken, lost)
	return broken > 0
}

// A workTime is when an upstream worked at a request, or when a daemon stopped.
type workTime struct{ began, ended time.Time }

// workOn returns when an upstream worked at a request, or false if it never did.
func (u *upstream) workOn(id string) (workTime, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w, ok := u.worked[id]
	return w, ok
}
