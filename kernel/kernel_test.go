package kernel

import (
	"context"
	"io"
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
)

func TestStartStopOrderAndLookup(t *testing.T) {
	r := New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	var order []string
	step := func(s string) func(context.Context) error {
		return func(context.Context) error {
			order = append(order, s)
			return nil
		}
	}
	qt.Assert(t, r.Register(Service{Name: "late", Priority: 2, Value: 7, Start: step("+late"), Stop: step("-late")}), qt.IsNil)
	qt.Assert(t, r.Register(Service{Name: "early", Priority: 1, Start: step("+early"), Stop: step("-early"), Dump: func() any { return "d" }}), qt.IsNil)
	qt.Assert(t, eris.Is(r.Register(Service{Name: "late"}), ErrDuplicate), qt.IsTrue)
	ctx := context.Background()
	qt.Assert(t, r.Start(ctx), qt.IsNil)
	qt.Assert(t, r.Stop(ctx), qt.IsNil)
	qt.Assert(t, order, qt.DeepEquals, []string{"+early", "+late", "-late", "-early"})
	v, err := Lookup[int](r, "late")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v, qt.Equals, 7)
	_, err = Lookup[string](r, "late")
	qt.Assert(t, eris.Is(err, ErrType), qt.IsTrue)
	_, err = Lookup[int](r, "none")
	qt.Assert(t, eris.Is(err, ErrUnknown), qt.IsTrue)
	qt.Assert(t, r.Dump(), qt.DeepEquals, []ServiceState{{Name: "early", State: "d"}})
}

func TestFailedStartStopsStartedServices(t *testing.T) {
	r := New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	stopped := false
	qt.Assert(t, r.Register(Service{Name: "a", Stop: func(context.Context) error { stopped = true; return nil }}), qt.IsNil)
	qt.Assert(t, r.Register(Service{Name: "b", Priority: 1, Start: func(context.Context) error { return eris.New("no") }}), qt.IsNil)
	qt.Assert(t, eris.Is(r.Start(context.Background()), ErrStart), qt.IsTrue)
	qt.Assert(t, stopped, qt.IsTrue)
}
