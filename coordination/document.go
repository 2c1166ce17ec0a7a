package coordination

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
)

// writeDocument replaces the document if it still has the given version. With platform.ErrConflict, it returns
// the present object if the store has sent it.
func (m *Member) writeDocument(ctx context.Context, d *ownership.Document, version platform.Version) (platform.Object, error) {
	value, err := json.Marshal(d)
	if err != nil {
		return platform.Object{}, eris.Wrapf(ErrMessage, "%v", err)
	}
	return m.options.Store().Put(ctx, documentKind, documentName, value, platform.IfVersion(version))
}

// decodeDocument decodes the document from an object of the store.
func decodeDocument(o platform.Object) (*ownership.Document, error) {
	var d ownership.Document
	if err := json.Unmarshal(o.Value, &d); err != nil {
		return nil, eris.Wrapf(ErrMessage, "%s/%s: %v", o.Kind, o.Name, err)
	}
	if d.Services == nil {
		d.Services = map[string][]ownership.Range{}
	}
	return &d, nil
}

// conflicting returns the document of an object that came with a conflict. It is as current as one read after the conflict.
// It returns nil if the document must be read: the store has sent no valid one, or has come back from a copy since.
func (m *Member) conflicting(o platform.Object) *reading {
	if o.Version == 0 || o.Version.Era() < m.options.Store().Era() {
		return nil
	}
	d, err := decodeDocument(o)
	if err != nil {
		return nil
	}
	return &reading{d, o.Version}
}

// writeChange writes the proposed document d to the store and retries until the outcome is
// known. When another process has written the document, it ends the coordination.
func (l *leader) writeChange(ctx context.Context, d *ownership.Document) {
	for ctx.Err() == nil {
		l.mu.Lock()
		version := l.version
		if proposed := l.core.Proposed(); proposed != nil {
			d = proposed // another one since the store was restored from a copy
		}
		d.Era = l.member.writeEra(version)
		l.mu.Unlock()
		sent := now()
		obj, err := l.member.writeDocument(ctx, d, version)
		if isConflict(err) {
			obj, err = l.resolveConflict(ctx, d, obj)
			if eris.Is(err, errSuperseded) {
				l.end()
				return
			}
			if eris.Is(err, errRestored) {
				l.proposeAgain()
				continue
			}
			if eris.Is(err, errUnverified) {
				sleep(ctx, verifyInterval)
				continue
			}
		}
		if err == nil {
			l.mu.Lock()
			if proposed := l.core.Proposed(); proposed != nil && proposed != d {
				l.mu.Unlock()
				continue // the store was restored from a copy after this write
			}
			l.version = obj.Version
			l.confirmLocked(sent)
			l.core.ConfirmWrite(now())
			l.publish()
			l.mu.Unlock()
			l.wakeUp()
			return
		}
		l.member.options.Log.Warn("coordination: Change has an unknown outcome.", "fence", d.Fence, "error", err.Error())
		sleep(ctx, writeRetryInterval)
	}
}

// isConflict reports whether a conditional write found another version of the document than it expected, or none.
func isConflict(err error) bool {
	return eris.Is(err, platform.ErrConflict) || eris.Is(err, platform.ErrRestored) || eris.Is(err, platform.ErrNotFound)
}

// resolveConflict determines whether a conflict was caused by an earlier attempt
// to write d, whose object it then returns. found is the object that came with the conflict, if any. It returns
// errSuperseded if another process wrote, and errRestored if the store has come back from a copy, so that d must be
// written on the copy's version.
func (l *leader) resolveConflict(ctx context.Context, d *ownership.Document, found platform.Object) (platform.Object, error) {
	obj, err := found, error(nil)
	if l.member.conflicting(found) == nil {
		obj, err = l.member.options.Store().Get(ctx, documentKind, documentName)
	}
	if eris.Is(err, platform.ErrNotFound) {
		return platform.Object{}, l.adoptCopy(nil, 0)
	}
	if err != nil {
		return obj, err
	}
	have, err := decodeDocument(obj)
	if err != nil {
		l.member.options.Log.Error("coordination: Document is malformed.", "version", obj.Version.String(), "error", err.Error())
		return platform.Object{}, err
	}
	if have.Coordinator == l.process && have.Term == d.Term && have.Fence == d.Fence && have.Era == d.Era && l.member.restoredEra(have, obj.Version) == 0 {
		return obj, nil
	}
	return platform.Object{}, l.adoptCopy(have, obj.Version)
}

// confirmLoop confirms at intervals that the document in the store still names
// this process as coordinator, and ends the coordination when it does not. When the store has come back
// from a copy, it writes the document again.
func (l *leader) confirmLoop(ctx context.Context) {
	interval, pause := confirmInterval, time.Duration(0)
	for {
		sleep(ctx, pause)
		sleepOr(ctx, interval-pause, l.confirmNow)
		if ctx.Err() != nil {
			return
		}
		interval, pause = confirmInterval, minConfirmInterval
		l.mu.Lock()
		recent := now().Sub(l.confirmedAt) < confirmInterval/2 && l.confirmedAt.After(l.confirmAfter) && l.version.Era() >= l.member.options.Store().Era()
		l.mu.Unlock()
		if recent {
			continue
		}
		sent := now()
		call, cancel := context.WithTimeout(ctx, confirmTimeout)
		d, version, ok := l.member.readDocument(call)
		cancel()
		if !ok {
			interval, pause = confirmRetryInterval, retryInterval
			continue
		}
		if l.isConfirmedBy(d, version) {
			l.mu.Lock()
			l.confirmLocked(sent)
			l.mu.Unlock()
			continue
		}
		err := l.adoptCopy(d, version)
		if eris.Is(err, errUnverified) {
			interval = verifyInterval
			continue
		}
		if !eris.Is(err, errRestored) {
			l.end()
			return
		}
		if l.proposeAgain() {
			l.writeChange(ctx, l.proposed())
		}
	}
}

// confirmLocked records that a call of the store that was sent at the given time has confirmed this leader.
// The caller holds l.mu.
func (l *leader) confirmLocked(sent time.Time) {
	if sent.After(l.confirmedAt) {
		l.confirmedAt = sent
		close(l.confirmed)
		l.confirmed = make(chan struct{})
	}
}

// awaitConfirmation waits until a call of the store that was sent after t has confirmed this leader, and reports whether
// that happened before ctx ended.
func (l *leader) awaitConfirmation(ctx context.Context, t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.After(l.confirmAfter) {
		l.confirmAfter = t
	}
	for !l.confirmedAt.After(t) {
		confirmed := l.confirmed
		l.mu.Unlock()
		select {
		case l.confirmNow <- struct{}{}:
		default:
		}
		select {
		case <-confirmed:
		case <-ctx.Done():
		}
		l.mu.Lock()
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

// isConfirmedBy reports whether a document in the store shows that this process coordinates.
func (l *leader) isConfirmedBy(d *ownership.Document, version platform.Version) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return d != nil && d.Coordinator == l.process && version.Era() == l.version.Era() && l.member.restoredEra(d, version) == 0
}

// ResignTimeout limits the write that removes the coordinator from the document. Resign takes
// no longer once its context has ended.
const ResignTimeout = 500 * time.Millisecond

// resign ends the coordination and removes this process from the document, so
// that a successor need not wait for the lease to expire. It does not change the
// document while an earlier write has an unknown outcome.
func (l *leader) resign() {
	l.mu.Lock()
	l.endLocked()
	version, d := l.version, l.core.Document()
	proposed := l.core.Proposed() != nil
	l.mu.Unlock()
	if proposed || d == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), ResignTimeout)
	defer cancel()
	vacant := *d
	vacant.Coordinator = ""
	if _, err := l.member.writeDocument(ctx, &vacant, version); err != nil {
		l.member.options.Log.Warn("coordination: Resigning failed.", "error", err.Error())
	}
}

// end ends the coordination, after which no more orders are sent.
func (l *leader) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endLocked()
}

// Resign ends the coordination by this process, if it coordinates, and keeps it
// from taking over again. While the store does not answer, no other host can take over
// and the keys would run out, so the process continues to renew them until the store
// answers or ctx ends.
func (m *Member) Resign(ctx context.Context) {
	m.suspendCandidacy(resignedPeriod)
	defer m.withdraw()
	l := m.currentLeader()
	if l == nil {
		return
	}
	for waited := false; ctx.Err() == nil && !l.hasEnded() && !m.storeAnswers(ctx); waited = true {
		if !waited {
			m.options.Log.Warn("coordination: Store does not answer. Coordinating until it does or the process ends.")
		}
		sleep(ctx, resignRetryInterval)
	}
	l.resign()
}

// storeAnswers reports whether the store answers a read. A write whose outcome stays unknown
// would not do: it could take effect while this process still coordinates.
func (m *Member) storeAnswers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, ResignTimeout)
	defer cancel()
	_, _, ok := m.readDocument(ctx)
	return ok
}

func (l *leader) hasEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// resignRetryInterval is the time between attempts to resign while the store does not answer.
const resignRetryInterval = 200 * time.Millisecond

// resignedPeriod is how long a process that has resigned does not take over; it
// exceeds the duration of any shutdown.
const resignedPeriod = 24 * time.Hour

// suspendCandidacy keeps this process from taking over for d.
func (m *Member) suspendCandidacy(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.candidateFrom = now().Add(d)
}

func (m *Member) candidacySuspended() bool {
	m.mu.Lock()
	suspended := now().Before(m.candidateFrom)
	m.mu.Unlock()
	return suspended || m.defersToOthers()
}
