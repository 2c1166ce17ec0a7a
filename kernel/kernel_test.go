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
	k := New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	var order []string
	step := func(s string) func(context.Context) error {
		return func(context.Context) error {
			order = append(order, s)
			return nil
		}
	}
	qt.Assert(t, k.Register(Service{Name: "late", Priority: 2, Value: 7, Start: step("+late"), Stop: step("-late")}), qt.IsNil)
	qt.Assert(t, k.Register(Service{Name: "early", Priority: 1, Start: step("+early"), Stop: step("-early"), Dump: func() any { return "d" }}), qt.IsNil)
	qt.Assert(t, eris.Is(k.Register(Service{Name: "late"}), ErrDuplicate), qt.IsTrue)
	ctx := context.Background()
	qt.Assert(t, k.Start(ctx), qt.IsNil)
	qt.Assert(t, k.Stop(ctx), qt.IsNil)
	qt.Assert(t, order, qt.DeepEquals, []string{"+early", "+late", "-late", "-early"})
	v, err := Lookup[int](k, "late")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v, qt.Equals, 7)
	_, err = Lookup[string](k, "late")
	qt.Assert(t, eris.Is(err, ErrType), qt.IsTrue)
	_, err = Lookup[int](k, "none")
	qt.Assert(t, eris.Is(err, ErrUnknown), qt.IsTrue)
	qt.Assert(t, k.Dump(), qt.DeepEquals, []ServiceState{{Name: "early", State: "d"}})
}

func TestFailedStartStopsStartedServices(t *testing.T) {
	k := New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	stopped := false
	qt.Assert(t, k.Register(Service{Name: "a", Stop: func(context.Context) error { stopped = true; return nil }}), qt.IsNil)
	qt.Assert(t, k.Register(Service{Name: "b", Priority: 1, Start: func(context.Context) error { return eris.New("no") }}), qt.IsNil)
	qt.Assert(t, eris.Is(k.Start(context.Background()), ErrStart), qt.IsTrue)
	qt.Assert(t, stopped, qt.IsTrue)
}
