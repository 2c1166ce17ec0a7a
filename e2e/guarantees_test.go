package e2e

import (
	"bytes"
	"context"
	"encoding/hex"
	"hash/fnv"
	"io"
	"net/netip"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/entry"
	"github.com/redwingtally/redwingtally/internal/ports"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/lane"
	"github.com/redwingtally/redwingtally/target"
)

// startTarget starts a stand-in target in the test process.
func (s *system) startTarget(o standin.TargetOptions) *standin.Target {
	t, err := standin.StartTarget(ports.Free(s.tb), o)
	qt.Assert(s.tb, err, qt.IsNil)
	s.tb.Cleanup(func() { shutDown(t.Stop) })
	return t
}

// newUnkeyedSystem starts a system of in-process daemons and targets with one
// service that is not divided by key.
func newUnkeyedSystem(tb testing.TB, daemons, targets int) (*system, []*standin.Target) {
	s := newSystem(tb, daemons)
	ts := make([]*standin.Target, 0, targets)
	addresses := make([]netip.AddrPort, 0, targets)
	for range targets {
		t := s.startTarget(standin.TargetOptions{Name: "t", OnCrash: func() {}})
		ts = append(ts, t)
		addresses = append(addresses, t.Address())
	}
	s.apply(serviceRecord("desk", unkeyed, addresses) + policyRecord("desk"))
	for i := range daemons {
		s.startDaemon(i)
	}
	s.awaitHolder("desk")
	return s, ts
}

// otherEntry returns the entry of a daemon that does not hold the service.
func (s *system) otherEntry(service string) netip.AddrPort {
	return s.entries[(s.awaitHolder(service)+1)%len(s.entries)]
}

// newRequestID requests a new request id from the first daemon.
func (s *system) newRequestID() string {
	r, err := call(s.entries[0], "POST", "/redwingtally/request-id", waitTimeout)
	qt.Assert(s.tb, err, qt.IsNil)
	return string(bytes.Split(r.Body, []byte(`"`))[3])
}

func TestLargeBodiesStreamInBothDirections(t *testing.T) {
	s, _ := newUnkeyedSystem(t, 2, 2)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	l, err := lane.Dial(ctx, s.otherEntry("desk"))
	qt.Assert(t, err, qt.IsNil)
	body := bytes.Repeat([]byte("staging photograph "), 500_000)
	digest := fnv.New64a()
	_, _ = digest.Write(body)
	var req protocol.Request
	var resp protocol.Response
	req.SetMethod("POST")
	req.SetRequestURI("http://entry/desk/bundles/1")
	req.Header.Set("Standin-Answer-Bytes", "3000000")
	req.SetBodyStream(bytes.NewReader(body), len(body))
	qt.Assert(t, l.Do(ctx, &req, &resp), qt.IsNil)
	n, err := io.Copy(io.Discard, resp.BodyStream())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, int64(3_000_000))
	qt.Assert(t, string(resp.Header.Peek("Standin-Digest")), qt.Equals, hex.EncodeToString(digest.Sum(nil)))
	qt.Assert(t, l.Finish(&resp), qt.IsTrue)
}

// TestTruncatedResponseIsAnError cuts responses off after several lengths, with
// and without a declared size. The caller must never receive them as complete.
func TestTruncatedResponseIsAnError(t *testing.T) {
	s, _ := newUnkeyedSystem(t, 2, 1)
	for _, e := range s.entries {
		for _, cut := range []string{"0", "100", "900000"} {
			_, err := call(e, "POST", "/desk/bundles", waitTimeout, [2]string{"Standin-Answer-Bytes", "1000000"}, [2]string{standin.TruncateHeader, cut})
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("cut after %s bytes", cut))
			// A chunked response that is cut before its head was sent on is replaced
			// by an error response.
			r, err := call(e, "POST", "/desk/bundles", waitTimeout, [2]string{"Standin-Answer-Bytes", "1000000"}, [2]string{standin.TruncateHeader, cut}, [2]string{standin.ChunkedHeader, "1"})
			qt.Assert(t, err != nil || r.Status == 502, qt.IsTrue, qt.Commentf("size unknown, cut after %s bytes: status %d", cut, r.Status))
		}
		r, err := call(e, "POST", "/desk/bundles", waitTimeout, [2]string{"Standin-Answer-Bytes", "1000000"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Body, qt.HasLen, 1000000)
	}
}

// TestDaemonWithoutStoreFetchesRecordsFromPeer starts daemons during a store
// outage: one with a peer in its settings serves requests, one without rejects
// them as not run.
func TestDaemonWithoutStoreFetchesRecordsFromPeer(t *testing.T) {
	s := newSystem(t, 3)
	// The third daemon is not in the list of hosts, so that no peer sends it records.
	s.platform.SetHosts(s.hosts[:2])
	tg := s.startTarget(standin.TargetOptions{Name: "t"})
	s.apply(serviceRecord("desk", unkeyed, []netip.AddrPort{tg.Address()}) + policyRecord("desk"))
	s.startDaemon(0)
	s.awaitHolder("desk")
	s.platform.SetFaults(standin.PlatformFaults{Unavailable: true})
	s.settings[1].Peers = []netip.AddrPort{s.settings[0].ControlAddress}
	s.startDaemon(1)
	eventually(t, "the second daemon serves requests", func() bool {
		r, err := call(s.entries[1], "GET", "/desk/pages", waitTimeout)
		return err == nil && r.Status == 200
	})
	s.startDaemon(2)
	r, err := call(s.entries[2], "GET", "/desk/pages", waitTimeout)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Status, qt.Equals, 503)
	qt.Assert(t, string(r.Body), qt.Contains, `"not_run":"true"`)
	qt.Assert(t, string(r.Body), qt.Contains, `"no_records"`)
}

func TestOnceOnlyRepeatsGetRecordedResponse(t *testing.T) {
	s, ts := newUnkeyedSystem(t, 3, 1)
	id := s.newRequestID()
	var first lane.Response
	for i := range 5 {
		r, err := call(s.entries[i%3], "POST", "/desk/deposits", waitTimeout, [2]string{target.RequestIDHeader, id})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Status, qt.Equals, 200, qt.Commentf("%s", r.Body))
		if i == 0 {
			first = r
		}
		qt.Assert(t, string(r.Body), qt.Equals, string(first.Body))
	}
	qt.Assert(t, ts[0].Runs()[id], qt.Equals, 1)
}

// TestOnceOnlyRequestAfterHolderLoss kills the holder of a service. Repeats of
// requests that ran or may have run are rejected; a request that has not run is
// served.
func TestOnceOnlyRequestAfterHolderLoss(t *testing.T) {
	s := newSystem(t, 4)
	tg := s.startTarget(standin.TargetOptions{Name: "t", Slots: 8})
	s.apply(serviceRecord("desk", unkeyed, []netip.AddrPort{tg.Address()}) + policyRecord("desk"))
	daemons := make([]*process, 0, len(s.settings))
	for i := range s.settings {
		daemons = append(daemons, s.startDaemonProcess(i))
	}
	holder := s.awaitHolder("desk")
	eventually(t, "the holder accepts request ids, two keepers record them and all daemons are alive", func() bool {
		st, _ := s.daemonStatus(holder)
		return len(st.AliveHosts) == 4 && len(st.Groups) > 0 && st.Groups[0].RequestID.Open && len(st.Groups[0].RequestID.Keepers) == 2
	})
	survivor := s.entries[(holder+1)%4]
	completed, running, unsent := s.newRequestID(), s.newRequestID(), s.newRequestID()
	r, err := call(survivor, "POST", "/desk/deposits", waitTimeout, [2]string{target.RequestIDHeader, completed})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Status, qt.Equals, 200)
	interrupted := make(chan lane.Response, 1)
	go func() {
		r, _ := call(survivor, "POST", "/desk/deposits", waitTimeout, [2]string{target.RequestIDHeader, running}, [2]string{standin.ServiceTimeHeader, "3s"})
		interrupted <- r
	}()
	eventually(t, "the second request runs", func() bool { return tg.Runs()[running] == 1 })
	daemons[holder].kill()
	qt.Assert(t, string((<-interrupted).Body), qt.Contains, `"not_run":"unknown"`)
	for _, id := range []string{completed, running} {
		eventually(t, "a repeat is rejected because the request ran or may have run", func() bool {
			r, err := call(survivor, "POST", "/desk/deposits", waitTimeout, [2]string{target.RequestIDHeader, id})
			return err == nil && r.Status == 409
		})
		qt.Assert(t, tg.Runs()[id], qt.Equals, 1)
	}
	// The keepers' records show that this request never ran, although its id was
	// issued before the new holder took over.
	eventually(t, "a request that has not run is served", func() bool {
		r, err := call(survivor, "POST", "/desk/deposits", waitTimeout, [2]string{target.RequestIDHeader, unsent})
		return err == nil && r.Status == 200
	})
	qt.Assert(t, tg.Runs()[unsent], qt.Equals, 1)
}

// TestShutdownFinishesSlowUpload stops a daemon during an upload, first the entry
// and then the holder. The upload must complete and the daemon exit with code 0.
func TestShutdownFinishesSlowUpload(t *testing.T) {
	s := newSystem(t, 2)
	tg := s.startTarget(standin.TargetOptions{Name: "t"})
	s.apply(serviceRecord("desk", unkeyed, []netip.AddrPort{tg.Address()}) + policyRecord("desk"))
	daemons := []*process{s.startDaemonProcess(0), s.startDaemonProcess(1)}
	holder := s.awaitHolder("desk")
	for _, i := range []int{(holder + 1) % 2, holder} {
		upload := newSlowUpload(t, s.entries[i])
		upload.send(1)
		daemons[i].signal(syscall.SIGTERM)
		for range 20 {
			upload.send(1)
			time.Sleep(50 * time.Millisecond) // simulates a slow caller
		}
		upload.finish()
		<-daemons[i].exited
		qt.Assert(t, daemons[i].cmd.ProcessState.ExitCode(), qt.Equals, 0)
		daemons[i] = s.startDaemonProcess(i)
		eventually(t, "the restarted daemon reports both daemons as alive", func() bool {
			st, ok := s.daemonStatus(i)
			return ok && len(st.AliveHosts) == 2
		})
	}
}

// slowUpload is an upload whose body is sent in parts.
type slowUpload struct {
	t         testing.TB
	pipe      *io.PipeWriter
	digest    interface{ Sum([]byte) []byte }
	writeBody func([]byte)
	result    chan error
	resp      protocol.Response
}

func newSlowUpload(t testing.TB, address netip.AddrPort) *slowUpload {
	l, err := lane.Dial(context.Background(), address)
	qt.Assert(t, err, qt.IsNil)
	r, w := io.Pipe()
	d := fnv.New64a()
	u := &slowUpload{t: t, pipe: w, digest: d, result: make(chan error, 1)}
	u.writeBody = func(p []byte) {
		_, _ = d.Write(p)
		_, _ = w.Write(p)
	}
	go func() {
		var req protocol.Request
		req.SetMethod("POST")
		req.SetRequestURI("http://entry/desk/bundles/1")
		req.SetBodyStream(lane.NewRequestBody(r), -1)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		err := l.Do(ctx, &req, &u.resp)
		u.result <- err
	}()
	return u
}

func (u *slowUpload) send(kilobytes int) { u.writeBody(bytes.Repeat([]byte("x"), kilobytes*1024)) }

func (u *slowUpload) finish() {
	_ = u.pipe.Close()
	qt.Assert(u.t, <-u.result, qt.IsNil)
	qt.Assert(u.t, u.resp.StatusCode(), qt.Equals, 200)
	qt.Assert(u.t, string(u.resp.Header.Peek("Standin-Digest")), qt.Equals, hex.EncodeToString(u.digest.Sum(nil)))
}

// TestTruncatedUploadIsNotComplete cuts uploads off. The target must receive a
// complete body only for the request that follows them.
func TestTruncatedUploadIsNotComplete(t *testing.T) {
	s, ts := newUnkeyedSystem(t, 2, 1)
	for _, e := range s.entries {
		u := newSlowUpload(t, e)
		u.send(100)
		_ = u.pipe.CloseWithError(io.ErrUnexpectedEOF)
		qt.Assert(t, <-u.result, qt.IsNotNil)
	}
	r, err := call(s.entries[0], "GET", "/desk/pages", waitTimeout)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Status, qt.Equals, 200)
	eventually(t, "no request is in flight", func() bool {
		g, ok := s.groupStatus()
		return ok && g.InFlight == 0
	})
	qt.Assert(t, ts[0].CompleteBodies(), qt.Equals, 1)
}

// TestUnresponsiveConnections makes open connections to a target stop responding
// while new connections work.
func TestUnresponsiveConnections(t *testing.T) {
	s, ts := newUnkeyedSystem(t, 1, 1)
	request := func() {
		r, err := call(s.entries[0], "GET", "/desk/pages", waitTimeout)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Status, qt.Equals, 200)
	}
	request()
	ts[0].SetFaults(standin.TargetFaults{SilenceConnections: true})
	// An idempotent request is resent over a new connection.
	request()
	// A once-only request is never resent.
	id := s.newRequestID()
	request()
	ts[0].SetFaults(standin.TargetFaults{SilenceConnections: true})
	_, _ = call(s.entries[0], "POST", "/desk/deposits", 4*time.Second, [2]string{target.RequestIDHeader, id})
	r, err := call(s.entries[0], "POST", "/desk/deposits", waitTimeout, [2]string{target.RequestIDHeader, id})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Status != 200 || ts[0].Runs()[id] == 1, qt.IsTrue)
	qt.Assert(t, ts[0].Runs()[id] <= 1, qt.IsTrue)
	request()
}

func TestCrashingRequestIsQuarantinedOnAllHosts(t *testing.T) {
	s := newSystem(t, 2)
	addresses := make([]netip.AddrPort, 0, 4)
	for range 4 {
		addresses = append(addresses, ports.Free(t))
	}
	targets := make([]*process, 0, len(addresses))
	for i, a := range addresses {
		targets = append(targets, startProcess(t, "redwingtally-standin", "target", "--name", strconv.Itoa(i), "--address", a.String()))
	}
	s.apply(serviceRecord("desk", unkeyed, addresses) + policyRecord("desk"))
	s.startDaemon(0)
	s.startDaemon(1)
	s.awaitHolder("desk")
	eventually(t, "the service responds", func() bool {
		r, err := call(s.entries[0], "GET", "/desk/pages/ok", waitTimeout)
		return err == nil && r.Status == 200
	})
	crashed := func() int {
		n := 0
		for _, p := range targets {
			select {
			case <-p.exited:
				n++
			default:
			}
		}
		return n
	}
	// Both entries receive the crashing request repeatedly. No more than two
	// targets may crash.
	for i := range 12 {
		_, _ = call(s.entries[i%2], "GET", "/desk/pages/bad", waitTimeout, [2]string{standin.CrashHeader, "1"})
	}
	qt.Assert(t, crashed(), qt.Equals, 2)
	for i := range 2 {
		r, err := call(s.entries[i], "GET", "/desk/pages/bad", waitTimeout, [2]string{standin.CrashHeader, "1"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Status, qt.Equals, 422)
		r, err = call(s.entries[i], "GET", "/desk/pages/ok", waitTimeout)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Status, qt.Equals, 200)
	}
}

func TestDrainingTargetGetsNoNewRequests(t *testing.T) {
	s, ts := newUnkeyedSystem(t, 1, 2)
	ts[0].SetFaults(standin.TargetFaults{Draining: true})
	eventually(t, "the daemon reports the target as draining", func() bool {
		g, ok := s.groupStatus()
		return ok && g.Targets[0].Draining
	})
	ids := map[string]bool{}
	for range 20 {
		id := s.newRequestID()
		ids[id] = true
		r, err := call(s.entries[0], "POST", "/desk/deposits", waitTimeout, [2]string{target.RequestIDHeader, id})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Status, qt.Equals, 200)
	}
	for id := range ids {
		qt.Assert(t, ts[0].Runs()[id], qt.Equals, 0)
		qt.Assert(t, ts[1].Runs()[id], qt.Equals, 1)
	}
}

// TestCancelledRequestFreesSlot cancels more requests than the target has slots,
// each far longer than the test. A later request must still be served.
func TestCancelledRequestFreesSlot(t *testing.T) {
	s, _ := newUnkeyedSystem(t, 2, 1)
	e := s.otherEntry("desk")
	for range 3 {
		_, err := call(e, "POST", "/desk/writes", 200*time.Millisecond, [2]string{standin.ServiceTimeHeader, "50s"})
		qt.Assert(t, err, qt.IsNotNil)
	}
	r, err := call(e, "GET", "/desk/pages", waitTimeout)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Status, qt.Equals, 200)
}

func TestInvalidRequests(t *testing.T) {
	s, _ := newUnkeyedSystem(t, 2, 1)
	tests := []struct {
		name    string
		method  string
		path    string
		headers [][2]string
		status  int
		code    string
	}{
		{"unknown service", "GET", "/nothing/x", nil, 404, "unknown_service"},
		{"no service", "GET", "/", nil, 404, "unknown_service"},
		{"bad budget", "GET", "/desk/pages", [][2]string{{target.BudgetHeader, "soon"}}, 400, "bad_budget"},
		{"negative budget", "GET", "/desk/pages", [][2]string{{target.BudgetHeader, "-1s"}}, 400, "bad_budget"},
		{"no request id", "POST", "/desk/deposits", nil, 400, "request_id_required"},
		{"malformed request id", "POST", "/desk/deposits", [][2]string{{target.RequestIDHeader, "17"}}, 400, "request_id_malformed"},
		{"request id from the future", "POST", "/desk/deposits", [][2]string{{target.RequestIDHeader, "zzzzzzzz-abcdefgh"}}, 400, "request_id_in_future"},
		{"old request id", "POST", "/desk/deposits", [][2]string{{target.RequestIDHeader, "1-abcdefgh"}}, 409, "request_id_too_old"},
		{"long key", "GET", "/desk/pages", [][2]string{{entry.KeyHeader, string(bytes.Repeat([]byte("k"), 2000))}}, 400, "key_too_long"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, e := range s.entries {
				r, err := call(e, test.method, test.path, waitTimeout, test.headers...)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, r.Status, qt.Equals, test.status, qt.Commentf("%s", r.Body))
				qt.Assert(t, string(r.Body), qt.Contains, `"`+test.code+`"`)
			}
		})
	}
}
