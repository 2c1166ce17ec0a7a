package edge

import (
	"context"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/quarantine"
)

// checkCrash records a crash of the target if nothing listens on its address
// after its connection broke. A target that still listens has only closed the
// connection. The crash is recorded against the incarnation of the target.
func (q *request) checkCrash(d schedulerDecision) {
	e := q.edge
	crash := quarantine.Crash{Fingerprint: q.fingerprint, Incarnation: d.dispatch.Target.Name + "/" + strconv.FormatInt(d.dispatch.Target.StartedAt.UnixMilli(), 36)}
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if err := d.client.Preconnect(ctx); !eris.Is(err, exchange.ErrNoListener) {
		return
	}
	e.mu.Lock()
	e.pendingCrashes = append(e.pendingCrashes, crash)
	rejected := e.crashTable.RecordCrash(time.Now(), crash)
	e.mu.Unlock()
	e.member.ReportNow()
	if rejected {
		e.log.Warn("edge: Request that crashes targets is rejected from now on.", "fingerprint", uint64(q.fingerprint), "request", q.meta.ID, "target", crash.Incarnation)
	}
}

// clearSuspicion removes the recorded crashes of a request after a target has
// responded to it.
func (q *request) clearSuspicion() {
	e := q.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashTable.Suspected(q.fingerprint) {
		e.crashTable.RecordResponse(q.fingerprint)
		e.pendingCleared = append(e.pendingCleared, q.fingerprint)
	}
}
