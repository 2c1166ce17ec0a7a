package edge

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/routing"
	"github.com/redwingtally/redwingtally/settings"
)

// The first list of a large fleet is logged in a bounded number of lines that account for
// all entries. On quiet-1 of wickgate-large, 295 hosts logged 143,464 lines in ten seconds.
func TestListsAreLoggedInFewLines(t *testing.T) {
	tests := []struct {
		name            string
		entries, lines  int
		further, leaves string
	}{
		{"one change", 1, 1, "", ""},
		{"as many as are logged one by one", maxLoggedEntries, maxLoggedEntries, "", ""},
		{"large list", 809, maxLoggedEntries + 1, "entries=793", "draining=396"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var out bytes.Buffer
			e, err := New(settings.Edge{Host: "e1"}, slog.New(slog.NewTextHandler(&out, nil)))
			c.Assert(err, qt.IsNil)
			changes := make([]platform.Object, 0, test.entries)
			for i := range test.entries {
				value, err := platform.EncodeTarget(platform.Target{
					Name: fmt.Sprint("t", i), StartedAt: time.Unix(1, 0), Service: "stock", Slots: 2, Draining: i%2 == 1,
					Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(i+1)),
				}, 1)
				c.Assert(err, qt.IsNil)
				changes = append(changes, platform.Object{Kind: platform.KindTargets, Name: fmt.Sprint("t", i), Version: platform.Version(i + 1), Value: value})
			}
			out.Reset()
			e.applyObjects(changes)
			c.Check(bytes.Count(out.Bytes(), []byte("\n")), qt.Equals, test.lines, qt.Commentf("%s", &out))
			c.Check(bytes.Contains(out.Bytes(), []byte(test.further)) && bytes.Contains(out.Bytes(), []byte(test.leaves)), qt.IsTrue, qt.Commentf("%s", &out))
			out.Reset()
			e.applyObjects(changes)
			c.Check(out.Len(), qt.Equals, 0, qt.Commentf("nothing has changed"))
		})
	}
}

// The targets are passed to the services only when they have changed: when an entry changes,
// when the retention of a removed one ends, and with a new configuration.
func TestServicesGetChangedTargetsOnly(t *testing.T) {
	c := qt.New(t)
	e, err := New(settings.Edge{Host: "e1", Drain: time.Second}, slog.New(slog.DiscardHandler))
	c.Assert(err, qt.IsNil)
	configuration := &platform.Configuration{Services: []platform.Service{{Name: "stock"}}}
	e.table.Store(routing.New(configuration))
	set := func(names ...string) {
		for _, name := range names {
			e.targets.Set(time.Now(), platform.Target{Name: name, StartedAt: time.Unix(1, 0), Service: "stock", Slots: 2, Address: netip.MustParseAddrPort("10.0.0.1:1")})
		}
	}
	passed := func() int { e.updateServices(); return e.TargetCount("stock") }
	set("a", "b", "c", "d")
	c.Check(passed(), qt.Equals, 4)
	e.service("stock").scheduler.SetTargets(time.Now(), nil)
	c.Check(passed(), qt.Equals, 0, qt.Commentf("nothing has changed"))
	set("e")
	c.Check(passed(), qt.Equals, 5)
	for _, name := range []string{"a", "b", "c", "d"} {
		e.targets.Remove(time.Now(), name)
	}
	c.Check(passed(), qt.Equals, 5, qt.Commentf("entries that are removed together are retained"))
	time.Sleep(900 * time.Millisecond) // longer than the retention
	c.Check(passed(), qt.Equals, 1)
	e.service("stock").scheduler.SetTargets(time.Now(), nil)
	e.table.Store(routing.New(configuration))
	c.Check(passed(), qt.Equals, 1, qt.Commentf("a new configuration"))
}
