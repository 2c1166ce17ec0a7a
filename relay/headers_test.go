package relay

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
)

func TestRequestRoundTrip(t *testing.T) {
	tests := []Request{
		{Attempts: 1},
		{Configuration: 1<<64 - 1, Attempts: maxAttempts, Elapsed: maxElapsed, Counted: true, CallerRetry: true},
		{Attempts: 1, Service: "stock+spare 1/ä\n%"},
		{Configuration: 12, Attempts: 2, Elapsed: 1500 * time.Millisecond, CallerRetry: true},
	}
	for _, want := range tests {
		h := http.Header{headerCounted: {"1", "1"}, headerAttempts: {"99"}, "Accept": {"x"}}
		want.Set(h)
		got, err := ReadRequest(h)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, want)
		Strip(h)
		qt.Check(t, h, qt.DeepEquals, http.Header{"Accept": {"x"}})
	}
}

// A name that does not fit is left out; the relay then chooses itself.
func TestLongServiceIsNotPassedOn(t *testing.T) {
	for _, test := range []struct{ length, want int }{{maxService, maxService}, {maxService + 1, 0}} {
		h := http.Header{}
		Request{Attempts: 1, Service: strings.Repeat("a", test.length)}.Set(h)
		got, err := ReadRequest(h)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got.Service, qt.HasLen, test.want)
	}
}

func TestReadRequestRejects(t *testing.T) {
	tests := []struct {
		name   string
		header string
		values []string
	}{
		{"no configuration", headerConfiguration, nil},
		{"configuration twice", headerConfiguration, []string{"1", "2"}},
		{"configuration with a sign", headerConfiguration, []string{"-1"}},
		{"configuration too large", headerConfiguration, []string{"18446744073709551616"}},
		{"empty attempts", headerAttempts, []string{""}},
		{"no attempt", headerAttempts, []string{"0"}},
		{"too many attempts", headerAttempts, []string{"1001"}},
		{"fraction of an attempt", headerAttempts, []string{"1.5"}},
		{"elapsed too long", headerElapsed, []string{"3600001"}},
		{"unknown flag value", headerCounted, []string{"true"}},
		{"service twice", headerService, []string{"a", "b"}},
		{"empty service", headerService, []string{""}},
		{"service with a malformed escape", headerService, []string{"a%2"}},
		{"service too long", headerService, []string{strings.Repeat("a", maxService+1)}},
		{"flag twice", headerCallerRetry, []string{"1", "1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := http.Header{}
			Request{Configuration: 3, Attempts: 2}.Set(h)
			h[test.header] = test.values
			r, err := ReadRequest(h)
			qt.Check(t, eris.Is(err, ErrHeader), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, r, qt.Equals, Request{})
			qt.Check(t, err, qt.ErrorMatches, test.header+".*")
		})
	}
}

func TestResult(t *testing.T) {
	tests := []struct {
		result Result
		valid  bool
	}{
		{Result{Kind: Response, Runs: 1}, true}, {Result{Kind: Response, Runs: 2}, true}, {Result{Kind: Response, Runs: 0}, false},
		{Result{Kind: Failed, Runs: 1}, true}, {Result{Kind: Failed, Runs: 0}, false},
		{Result{Kind: Rejected, Counted: true}, true}, {Result{Kind: Rejected, Runs: 1}, false},
		{Result{Kind: NotTaken, Runs: 0}, true}, {Result{Kind: NotTaken, Runs: 1}, false},
		{Result{Kind: NotTaken, RetryTaken: true, Unavailable: true}, true}, {Result{Kind: Response, Runs: 1, RetryTaken: true, IDAdded: true}, true},
		{Result{Kind: "other", Runs: 0}, false}, {Result{Kind: "", Runs: 0}, false}, {Result{Kind: Response, Runs: -1}, false},
	}
	for _, test := range tests {
		h := http.Header{headerResult: {"forged"}}
		test.result.Set(h)
		got, err := ReadResult(h)
		qt.Check(t, err == nil, qt.Equals, test.valid, qt.Commentf("%v", test.result))
		if test.valid {
			qt.Check(t, got, qt.Equals, test.result)
		}
	}
	_, err := ReadResult(http.Header{})
	qt.Check(t, eris.Is(err, ErrHeader), qt.IsTrue)
}

func TestCheck(t *testing.T) {
	c := qt.New(t)
	h := http.Header{}
	c.Check(IsCheck(h), qt.IsFalse)
	SetCheck(h)
	c.Check(IsCheck(h), qt.IsTrue)
	Request{Attempts: 1}.Set(h) // a caller's header does not make its request a check
	c.Check(IsCheck(h), qt.IsFalse)
}

func TestAttemptsFor(t *testing.T) {
	for _, test := range [][2]int{{0, 1}, {1, 1}, {2, 1}, {3, 2}} {
		qt.Check(t, AttemptsFor(test[0]), qt.Equals, test[1])
	}
}

// Decoding arbitrary headers does not fail other than with ErrHeader, and what it
// accepts is within its bounds and encodes to the same.
func FuzzReadHeaders(f *testing.F) {
	f.Add("12", "2", "40", "1", "", "response")
	f.Add("", "-1", "1e3", "true", "1\n1", "failed")
	f.Add("18446744073709551616", "0x2", "3600001", "0", "1", "not_taken")
	f.Fuzz(func(t *testing.T, configuration, attempts, elapsed, counted, callerRetry, result string) {
		h := http.Header{}
		for name, values := range map[string]string{
			headerConfiguration: configuration, headerAttempts: attempts, headerElapsed: elapsed,
			headerCounted: counted, headerCallerRetry: callerRetry, headerResult: result,
		} {
			if values != "" {
				h[name] = strings.Split(values, "\n")
			}
		}
		r, err := ReadRequest(h)
		if err == nil {
			if r.Attempts < 1 || r.Attempts > maxAttempts || r.Elapsed < 0 || r.Elapsed > maxElapsed {
				t.Fatalf("out of bounds: %+v", r)
			}
			again := http.Header{}
			r.Set(again)
			if got, err := ReadRequest(again); err != nil || got != r {
				t.Fatalf("%+v became %+v, %v", r, got, err)
			}
		} else if !eris.Is(err, ErrHeader) {
			t.Fatal(err)
		}
		res, err := ReadResult(h)
		if err == nil && (res.Runs == 0) != (res.Kind == Rejected || res.Kind == NotTaken) || err != nil && !eris.Is(err, ErrHeader) {
			t.Fatalf("%+v, %v", res, err)
		}
		Strip(h)
		if len(h) > 0 {
			t.Fatalf("left: %v", h)
		}
	})
}
