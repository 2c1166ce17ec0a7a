package edge

import (
	"context"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/quarantine"
)

// suspectCrashed notes a crash if the target's process is gone after its
// connection broke. A target that still listens only closed the connection.
func (q *request) suspectCrashed(g grant) {
	e := q.edge
	crash := quarantine.Crash{Fingerprint: q.fingerprint, Incarnation: g.dispatch.Target.Name + "/" + strconv.FormatInt(g.dispatch.Target.StartedAt.UnixMilli(), 36)}
	ctx, cancel := context.WithTimeout(context.Background(), crashCheck)
	defer cancel()
	if err := g.link.Preconnect(ctx); !eris.Is(err, exchange.ErrNoListener) {
		return
	}
	e.mu.Lock()
	e.crashed = append(e.crashed, crash)
	refused := e.crashes.RecordCrash(time.Now(), crash)
	e.mu.Unlock()
	e.member.ReportNow()
	if refused {
		e.log.Warn("edge: Request that crashes targets is refused from now on.", "fingerprint", uint64(q.fingerprint), "request", q.call.ID, "target", crash.Incarnation)
	}
}

// suspectAnswered notes that a target answered a request that was suspected.
func (q *request) suspectAnswered() {
	e := q.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashes.Suspected(q.fingerprint) {
		e.crashes.RecordAnswer(q.fingerprint)
		e.answered = append(e.answered, q.fingerprint)
	}
}
