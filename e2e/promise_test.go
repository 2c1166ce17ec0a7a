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

// target starts a stand-in target in the test's own process.
func (s *system) target(o standin.TargetOptions) *standin.Target {
	t, err := standin.StartTarget(ports.Free(s.tb), o)
	qt.Assert(s.tb, err, qt.IsNil)
	s.tb.Cleanup(func() { stop(t.Stop) })
	return t
}

// small is a running system of in-process daemons with one undivided service.
func small(tb testing.TB, daemons, targets int) (*system, []*standin.Target) {
	s := newSystem(tb, daemons)
	ts := make([]*standin.Target, 0, targets)
	addresses := make([]netip.AddrPort, 0, targets)
	for range targets {
		t := s.target(standin.TargetOptions{Name: "t", Crash: func() {}})
		ts = append(ts, t)
		addresses = append(addresses, t.Address())
	}
	s.apply(serviceRecord("desk", undivided, addresses) + policyRecord("desk"))
	for i := range daemons {
		s.daemon(i)
	}
	s.awaitHolder("desk")
	return s, ts
}

// notHolder returns the entry of a daemon that does not hold the service.
func (s *system) notHolder(service string) netip.AddrPort {
	return s.entries[(s.awaitHolder(service)+1)%len(s.entries)]
}

func (s *system) newID() string {
	r, err := call(s.entries[0], "POST", "/redwingtally/request-id", settleTime)
	qt.Assert(s.tb, err, qt.IsNil)
	return string(bytes.Split(r.Body, []byte(`"`))[3])
}

func TestLargeBodiesStreamWholeBothWays(t *testing.T) {
	s, _ := small(t, 2, 2)
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	l, err := lane.Dial(ctx, s.notHolder("desk"))
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

func TestAnswerThatIsCutIsNeverWhole(t *testing.T) {
	s, _ := small(t, 2, 1)
	for _, e := range s.entries {
		for _, cut := range []string{"0", "100", "900000"} {
			_, err := call(e, "POST", "/desk/bundles", settleTime, [2]string{"Standin-Answer-Bytes", "1000000"}, [2]string{standin.CutHeader, cut})
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("cut after %s bytes", cut))
			// Cut before its head is sent, an answer becomes a refusal.
			r, err := call(e, "POST", "/desk/bundles", settleTime, [2]string{"Standin-Answer-Bytes", "1000000"}, [2]string{standin.CutHeader, cut}, [2]string{standin.ChunkedHeader, "1"})
			qt.Assert(t, err != nil || r.Status == 502, qt.IsTrue, qt.Commentf("size unknown, cut after %s bytes: status %d", cut, r.Status))
		}
		r, err := call(e, "POST", "/desk/bundles", settleTime, [2]string{"Standin-Answer-Bytes", "1000000"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Body, qt.HasLen, 1000000)
	}
}

func TestDaemonWithoutStoreTakesRecordsFromPeer(t *testing.T) {
	s := newSystem(t, 3)
	// The third daemon is on no list, so that no peer tells it records.
	s.platform.SetHosts(s.hosts[:2])
	tg := s.target(standin.TargetOptions{Name: "t"})
	s.apply(serviceRecord("desk", undivided, []netip.AddrPort{tg.Address()}) + policyRecord("desk"))
	s.daemon(0)
	s.awaitHolder("desk")
	s.platform.SetFaults(standin.PlatformFaults{Down: true})
	s.settings[1].Peers = []netip.AddrPort{s.settings[0].ControlAddress}
	s.daemon(1)
	eventually(t, "the second daemon serves", func() bool {
		r, err := call(s.entries[1], "GET", "/desk/pages", settleTime)
		return err == nil && r.Status == 200
	})
	s.daemon(2)
	r, err := call(s.entries[2], "GET", "/desk/pages", settleTime)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Status, qt.Equals, 503)
	qt.Assert(t, string(r.Body), qt.Contains, `"not_run":"true"`)
	qt.Assert(t, string(r.Body), qt.Contains, `"no_records"`)
}

func TestOnceOnlyRequestAnswersRepeatsFromTheRecord(t *testing.T) {
	s, ts := small(t, 3, 1)
	id := s.newID()
	var first lane.Response
	for i := range 5 {
		r, err := call(s.entries[i%3], "POST", "/desk/deposits", settleTime, [2]string{target.RequestIDHeader, id})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Status, qt.Equals, 200, qt.Commentf("%s", r.Body))
		if i == 0 {
			first = r
		}
		qt.Assert(t, string(r.Body), qt.Equals, string(first.Body))
	}
	qt.Assert(t, ts[0].Runs()[id], qt.Equals, 1)
}

func TestOnceOnlyRequestOverLossOfItsHolder(t *testing.T) {
	s := newSystem(t, 4)
	tg := s.target(standin.TargetOptions{Name: "t", Slots: 8})
	s.apply(serviceRecord("desk", undivided, []netip.AddrPort{tg.Address()}) + policyRecord("desk"))
	daemons := make([]*process, 0, len(s.settings))
	for i := range s.settings {
		daemons = append(daemons, s.daemonProcess(i))
	}
	holder := s.awaitHolder("desk")
	eventually(t, "all daemons know each other", func() bool {
		st, _ := s.status(holder)
		return len(st.AliveHosts) == 4 && len(st.Groups) > 0 && st.Groups[0].RequestID.Open && len(st.Groups[0].RequestID.Keepers) == 2
	})
	survivor := s.entries[(holder+1)%4]
	ran, running, fresh := s.newID(), s.newID(), s.newID()
	r, err := call(survivor, "POST", "/desk/deposits", settleTime, [2]string{target.RequestIDHeader, ran})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Status, qt.Equals, 200)
	cut := make(chan lane.Response, 1)
	go func() {
		r, _ := call(survivor, "POST", "/desk/deposits", settleTime, [2]string{target.RequestIDHeader, running}, [2]string{standin.WorkHeader, "3s"})
		cut <- r
	}()
	eventually(t, "the second request runs", func() bool { return tg.Runs()[running] == 1 })
	daemons[holder].kill()
	qt.Assert(t, string((<-cut).Body), qt.Contains, `"not_run":"unknown"`)
	for _, id := range []string{ran, running} {
		eventually(t, "a repeat is refused because it ran or may have run", func() bool {
			r, err := call(survivor, "POST", "/desk/deposits", settleTime, [2]string{target.RequestIDHeader, id})
			return err == nil && r.Status == 409
		})
		qt.Assert(t, tg.Runs()[id], qt.Equals, 1)
	}
	// The keepers know that this id never ran, though it is older than the new holder.
	eventually(t, "a request that never ran is run", func() bool {
		r, err := call(survivor, "POST", "/desk/deposits", settleTime, [2]string{target.RequestIDHeader, fresh})
		return err == nil && r.Status == 200
	})
	qt.Assert(t, tg.Runs()[fresh], qt.Equals, 1)
}

func TestShutdownFinishesSlowUpload(t *testing.T) {
	s := newSystem(t, 2)
	tg := s.target(standin.TargetOptions{Name: "t"})
	s.apply(serviceRecord("desk", undivided, []netip.AddrPort{tg.Address()}) + policyRecord("desk"))
	daemons := []*process{s.daemonProcess(0), s.daemonProcess(1)}
	holder := s.awaitHolder("desk")
	for _, i := range []int{(holder + 1) % 2, holder} {
		upload := newSlowUpload(t, s.entries[i])
		upload.send(1)
		daemons[i].signal(syscall.SIGTERM)
		for range 20 {
			upload.send(1)
			time.Sleep(50 * time.Millisecond) // a slow caller
		}
		upload.finish()
		<-daemons[i].done
		qt.Assert(t, daemons[i].cmd.ProcessState.ExitCode(), qt.Equals, 0)
		daemons[i] = s.daemonProcess(i)
		eventually(t, "the daemon is back", func() bool {
			st, ok := s.status(i)
			return ok && len(st.AliveHosts) == 2
		})
	}
}

// slowUpload is an upload whose body is sent bit by bit.
type slowUpload struct {
	t      testing.TB
	pipe   *io.PipeWriter
	digest interface{ Sum([]byte) []byte }
	write  func([]byte)
	result chan error
	resp   protocol.Response
}

func newSlowUpload(t testing.TB, entry netip.AddrPort) *slowUpload {
	l, err := lane.Dial(context.Background(), entry)
	qt.Assert(t, err, qt.IsNil)
	r, w := io.Pipe()
	d := fnv.New64a()
	u := &slowUpload{t: t, pipe: w, digest: d, result: make(chan error, 1)}
	u.write = func(p []byte) {
		_, _ = d.Write(p)
		_, _ = w.Write(p)
	}
	go func() {
		var req protocol.Request
		req.SetMethod("POST")
		req.SetRequestURI("http://entry/desk/bundles/1")
		req.SetBodyStream(lane.NewRequestBody(r), -1)
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		err := l.Do(ctx, &req, &u.resp)
		u.result <- err
	}()
	return u
}

func (u *slowUpload) send(kilobytes int) { u.write(bytes.Repeat([]byte("x"), kilobytes*1024)) }

func (u *slowUpload) finish() {
	_ = u.pipe.Close()
	qt.Assert(u.t, <-u.result, qt.IsNil)
	qt.Assert(u.t, u.resp.StatusCode(), qt.Equals, 200)
	qt.Assert(u.t, string(u.resp.Header.Peek("Standin-Digest")), qt.Equals, hex.EncodeToString(u.digest.Sum(nil)))
}

func TestUploadThatIsCutIsNeverWhole(t *testing.T) {
	s, ts := small(t, 2, 1)
	for _, e := range s.entries {
		u := newSlowUpload(t, e)
		u.send(100)
		_ = u.pipe.CloseWithError(io.ErrUnexpectedEOF)
		qt.Assert(t, <-u.result, qt.IsNotNil)
	}
	r, err := call(s.entries[0], "GET", "/desk/pages", settleTime)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Status, qt.Equals, 200)
	eventually(t, "nothing runs any more", func() bool {
		st, _ := s.status(s.awaitHolder("desk"))
		return st.Groups[0].InFlight == 0
	})
	qt.Assert(t, ts[0].Whole(), qt.Equals, 1)
}

func TestSilentConnections(t *testing.T) {
	s, ts := small(t, 1, 1)
	warm := func() {
		r, err := call(s.entries[0], "GET", "/desk/pages", settleTime)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Status, qt.Equals, 200)
	}
	warm()
	ts[0].SetFaults(standin.TargetFaults{Silent: true})
	// A repeatable request is taken back and answered over a new connection.
	warm()
	// A once-only request is never sent twice.
	id := s.newID()
	warm()
	ts[0].SetFaults(standin.TargetFaults{Silent: true})
	_, _ = call(s.entries[0], "POST", "/desk/deposits", 4*time.Second, [2]string{target.RequestIDHeader, id})
	r, err := call(s.entries[0], "POST", "/desk/deposits", settleTime, [2]string{target.RequestIDHeader, id})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Status != 200 || ts[0].Runs()[id] == 1, qt.IsTrue)
	qt.Assert(t, ts[0].Runs()[id] <= 1, qt.IsTrue)
	warm()
}

func TestCrashingRequestIsSetAsideEverywhere(t *testing.T) {
	s := newSystem(t, 2)
	addresses := make([]netip.AddrPort, 0, 4)
	for range 4 {
		addresses = append(addresses, ports.Free(t))
	}
	targets := make([]*process, 0, len(addresses))
	for i, a := range addresses {
		targets = append(targets, startProcess(t, "redwingtally-standin", "target", "--name", strconv.Itoa(i), "--address", a.String()))
	}
	s.apply(serviceRecord("desk", undivided, addresses) + policyRecord("desk"))
	s.daemon(0)
	s.daemon(1)
	s.awaitHolder("desk")
	eventually(t, "the service answers", func() bool {
		r, err := call(s.entries[0], "GET", "/desk/pages/ok", settleTime)
		return err == nil && r.Status == 200
	})
	crashed := func() int {
		n := 0
		for _, p := range targets {
			select {
			case <-p.done:
				n++
			default:
			}
		}
		return n
	}
	// Each caller of this request sends it again and again, by either entry.
	for i := range 12 {
		_, _ = call(s.entries[i%2], "GET", "/desk/pages/bad", settleTime, [2]string{standin.CrashHeader, "1"})
	}
	qt.Assert(t, crashed(), qt.Equals, 2)
	for i := range 2 {
		r, err := call(s.entries[i], "GET", "/desk/pages/bad", settleTime, [2]string{standin.CrashHeader, "1"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Status, qt.Equals, 422)
		r, err = call(s.entries[i], "GET", "/desk/pages/ok", settleTime)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Status, qt.Equals, 200)
	}
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	s, ts := small(t, 1, 2)
	ts[0].SetFaults(standin.TargetFaults{Draining: true})
	eventually(t, "the daemon knows that the target is leaving", func() bool {
		st, _ := s.status(0)
		return st.Groups[0].Targets[0].Draining
	})
	id := map[string]bool{}
	for range 20 {
		n := s.newID()
		id[n] = true
		r, err := call(s.entries[0], "POST", "/desk/deposits", settleTime, [2]string{target.RequestIDHeader, n})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Status, qt.Equals, 200)
	}
	for n := range id {
		qt.Assert(t, ts[0].Runs()[n], qt.Equals, 0)
		qt.Assert(t, ts[1].Runs()[n], qt.Equals, 1)
	}
}

func TestCallerThatLeavesFreesTheSlot(t *testing.T) {
	s, _ := small(t, 2, 1)
	e := s.notHolder("desk")
	for range 3 {
		_, err := call(e, "POST", "/desk/writes", 200*time.Millisecond, [2]string{standin.WorkHeader, "50s"})
		qt.Assert(t, err, qt.IsNotNil)
	}
	r, err := call(e, "GET", "/desk/pages", settleTime)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Status, qt.Equals, 200)
}

func TestBadInput(t *testing.T) {
	s, _ := small(t, 2, 1)
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
				r, err := call(e, test.method, test.path, settleTime, test.headers...)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, r.Status, qt.Equals, test.status, qt.Commentf("%s", r.Body))
				qt.Assert(t, string(r.Body), qt.Contains, `"`+test.code+`"`)
			}
		})
	}
}
