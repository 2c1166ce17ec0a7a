package e2e

import (
	"context"
	"net/netip"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/operator"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/record"
)

// TestConcurrentOperatorEdits has six operators read, increment and write the same
// record concurrently. Every write is based on the version read, so no acknowledged
// edit may be lost.
func TestConcurrentOperatorEdits(t *testing.T) {
	s := newSystem(t, 0)
	s.apply("kind: placement\nname: desk\nschema_version: 2\nspec: {hot_keys: 0}\n")
	const operators, edits = 6, 10
	var wg sync.WaitGroup
	conflicts := make([]int, operators)
	for i := range operators {
		wg.Go(func() {
			op := operator.New(platform.NewStore(s.platform.Address()), redwingtally.NewRegistry())
			for done := 0; done < edits; {
				r, err := op.Get(context.Background(), "placement", "desk", 0)
				qt.Check(t, err, qt.IsNil)
				n := hotKeyLimit(t, r)
				r.Spec = []byte(`{"hot_keys":` + itoa(n+1) + `}`)
				results, err := op.Apply(context.Background(), []record.Record{r})
				switch {
				case err == nil && results[0].Change == operator.ChangeUpdated:
					done++
				case err == nil:
					// Another operator has written the same value; this write changed nothing.
					qt.Check(t, results[0].Change, qt.Equals, operator.ChangeUnchanged)
				case eris.Is(err, operator.ErrConflict):
					conflicts[i]++
				default:
					t.Errorf("%v", err)
					return
				}
			}
		})
	}
	wg.Wait()
	r, err := s.operator.Get(context.Background(), "placement", "desk", 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, hotKeyLimit(t, r), qt.Equals, operators*edits)
}

// hotKeyLimit returns the maximum number of hot keys in a placement record of any
// schema version.
func hotKeyLimit(t *testing.T, r record.Record) int {
	n, err := redwingtally.NewRegistry().ConvertToNewest(r)
	qt.Check(t, err, qt.IsNil)
	limit, err := decodeHotKeyLimit(n)
	qt.Check(t, err, qt.IsNil)
	return limit
}

func TestApplyWithoutBaseVersionIsRejected(t *testing.T) {
	s := newSystem(t, 0)
	text := "kind: placement\nname: desk\nschema_version: 2\nspec: {hot_keys: 1}\n"
	qt.Assert(t, s.apply(text)[0].Change, qt.Equals, operator.ChangeCreated)
	qt.Assert(t, s.apply(text)[0].Change, qt.Equals, operator.ChangeUnchanged)
	other, err := record.DecodeYAML("x", []byte("kind: placement\nname: desk\nschema_version: 2\nspec: {hot_keys: 2}\n"))
	qt.Assert(t, err, qt.IsNil)
	_, err = s.operator.Apply(context.Background(), other)
	qt.Assert(t, eris.Is(err, operator.ErrNoBaseVersion), qt.IsTrue)
	diffs, err := s.operator.Diff(context.Background(), other)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, diffs[0].Lines, qt.DeepEquals, []string{"-   hot_keys: 1", "+   hot_keys: 2"})
}

// TestConfigurationReachesAllDaemons changes records, with a store outage and a
// daemon restart in between. Every daemon must reach each version and never return
// to an earlier one.
func TestConfigurationReachesAllDaemons(t *testing.T) {
	s := newSystem(t, 4)
	tg := s.startTarget(standin.TargetOptions{Name: "t"})
	rec := serviceRecord("desk", unkeyed, []netip.AddrPort{tg.Address()})
	s.apply(rec + policyRecord("desk"))
	daemons := make([]*process, 0, 4)
	for i := range 4 {
		daemons = append(daemons, s.startDaemonProcess(i))
	}
	s.awaitHolder("desk")
	seen := make([]uint64, 4)
	await := func(version uint64) {
		eventually(t, "every daemon has the version in force", func() bool {
			all := true
			for i := range 4 {
				st, ok := s.daemonStatus(i)
				if !ok {
					all = false
					continue
				}
				qt.Assert(t, st.RecordsVersion >= seen[i], qt.IsTrue, qt.Commentf("daemon %d returned to an earlier version", i))
				seen[i] = st.RecordsVersion
				all = all && st.RecordsVersion >= version
			}
			return all
		})
	}
	for n := range 3 {
		r, err := s.operator.Get(context.Background(), "service", "desk", 0)
		qt.Assert(t, err, qt.IsNil)
		r.Spec = []byte(string(r.Spec[:len(r.Spec)-1]) + `,"note_` + itoa(n) + `":true}`)
		results, err := s.operator.Apply(context.Background(), []record.Record{r})
		qt.Assert(t, err, qt.IsNil)
		if n == 1 {
			s.platform.SetFaults(standin.PlatformFaults{Unavailable: true})
			daemons[n].kill()
			seen[n] = 0
			daemons[n] = s.startDaemonProcess(n)
			s.platform.SetFaults(standin.PlatformFaults{})
		}
		await(uint64(results[0].Version))
	}
}
