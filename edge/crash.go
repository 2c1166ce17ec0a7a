package edge

import (
	"context"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/quarantine"
)

const (
	// crashProbes is the number of other targets that are tried when a target seems to have crashed, until one can be
	// reached.
	crashProbes = 4
	// cutVerdictTime is the time within which a host whose connections are refused finds that it is cut off.
	cutVerdictTime = 300 * time.Millisecond
)

// checkCrash records a crash of the target if nothing listens on its address
// after its connection broke. A target that still listens has only closed the
// connection, or has restarted, which its entry tells. The crash is recorded against the incarnation of the target. If another
// target cannot be reached either, it is recorded only if the host is not found to be cut
// off: then its connections break while the targets live.
func (q *request) checkCrash(d schedulerDecision) {
	e := q.edge
	if e.cutOff() {
		return
	}
	crash := quarantine.Crash{Fingerprint: q.fingerprint, Incarnation: d.dispatch.Target.Name + "/" + strconv.FormatInt(d.dispatch.Target.StartedAt.UnixMilli(), 36)}
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if err := d.client.Preconnect(ctx); !eris.Is(err, exchange.ErrNoListener) {
		e.awaitRestart(brokenRequest{
			crash: crash, id: q.meta.ID, target: d.dispatch.Target.Name, service: d.dispatch.Target.Service,
			startedAt: d.dispatch.Target.StartedAt, brokenAt: time.Now(),
		})
		return
	}
	if e.reachesOther(ctx, d.client) {
		e.recordCrash(crash, q.meta.ID)
		return
	}
	intact, id := e.path.intactContext(), q.meta.ID
	_ = e.submit(func() {
		sleep(intact, cutVerdictTime)
		if intact.Err() == nil {
			e.recordCrash(crash, id)
		}
	}) // submit returns no error
}

// awaitRestart records the crash of a request whose connection broke once the entry of its target names a later start.
func (e *Edge) awaitRestart(b brokenRequest) {
	e.mu.Lock()
	startedAt, ok := e.targets.StartedAt(b.service, b.target)
	restarted := ok && startedAt.After(b.startedAt)
	if !restarted {
		e.restarts.add(b)
	}
	e.mu.Unlock()
	if restarted {
		e.recordCrash(b.crash, b.id)
	}
}

// reachesOther reports whether a connection to another of a few targets can be opened, or no
// other target is known.
func (e *Edge) reachesOther(ctx context.Context, than *exchange.Client) bool {
	others := 0
	for _, client := range e.chooseProbes(crashProbes + 1) {
		if client == than {
			continue
		}
		others++
		opened := client.Preconnect(ctx) == nil
		e.countProbes(opened)
		if opened {
			return true
		}
	}
	return others == 0
}

// recordCrash records a crash that was found by the request with the given ID.
func (e *Edge) recordCrash(crash quarantine.Crash, id string) {
	e.mu.Lock()
	e.pendingCrashes = append(e.pendingCrashes, crash)
	rejected := e.crashTable.RecordCrash(time.Now(), crash)
	e.mu.Unlock()
	e.member.ReportNow()
	if rejected {
		e.log.Warn("edge: Request that crashes targets is rejected from now on.", "fingerprint", uint64(crash.Fingerprint), "request", id, "target", crash.Incarnation)
	}
}

// clearSuspicion removes the recorded crashes of a request after a target has
// responded to it.
func (q *request) clearSuspicion() {
	e := q.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restarts.forget(q.fingerprint)
	if e.crashTable.Suspected(q.fingerprint) {
		e.crashTable.RecordResponse(q.fingerprint)
		e.pendingCleared = append(e.pendingCleared, q.fingerprint)
	}
}
