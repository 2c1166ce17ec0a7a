package catalogue

import (
	"fmt"
	"os"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/redwingtally/redwingtally/internal/seeds"
	"github.com/redwingtally/redwingtally/placement"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/policy"
	"github.com/redwingtally/redwingtally/record"
	"github.com/redwingtally/redwingtally/service"
)

func TestMain(m *testing.M) {
	seeds.SetFlags(nil)
	os.Exit(m.Run())
}

// newRegistry returns a registry with the kinds of a service's records.
func newRegistry() *record.Registry {
	reg, err := record.New(service.Kind(), placement.Kind(), policy.Kind())
	if err != nil {
		panic(err)
	}
	return reg
}

// serviceObject returns a service record as a store object. A negative number
// of slots makes the record invalid.
func serviceObject(name string, version platform.Version, slots int) platform.Object {
	value := fmt.Sprintf(`{"kind":"service","name":%q,"schema_version":2,"spec":{"slots_per_target":%d,"connections_per_target":100,"targets":[{"name":"t","address":"127.0.0.1:1","data_centre":"d"}]}}`, name, slots)
	return platform.Object{Kind: ObjectKind, Name: ObjectName("service", name), Version: version, Value: []byte(value)}
}

func TestInvalidRecordKeepsTheLastValidOne(t *testing.T) {
	c := New(newRegistry())
	qt.Assert(t, c.Ready(), qt.IsFalse)
	c.Apply(ObjectKind, []platform.Object{serviceObject("desk", 3, 2)})
	c.Apply(ObjectKind, []platform.Object{serviceObject("desk", 5, -1)})
	config, ok := c.Service("desk")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, config.Service.SlotsPerTarget, qt.Equals, 2)
	qt.Assert(t, c.InvalidRecords(), qt.HasLen, 1)
	qt.Assert(t, c.InvalidRecords()[0].Version, qt.Equals, platform.Version(5))
	c.Apply(ObjectKind, []platform.Object{serviceObject("desk", 6, 4)})
	config, _ = c.Service("desk")
	qt.Assert(t, config.Service.SlotsPerTarget, qt.Equals, 4)
	qt.Assert(t, c.InvalidRecords(), qt.HasLen, 0)
}

func TestReplaceDeletesMissingObjects(t *testing.T) {
	c := New(newRegistry())
	c.Apply(ObjectKind, []platform.Object{serviceObject("a", 1, 1), serviceObject("b", 2, 1)})
	c.Replace(ObjectKind, []platform.Object{serviceObject("b", 2, 1)})
	_, ok := c.Service("a")
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, c.Services(), qt.HasLen, 1)
}

// TestRecordsNeverRevert applies records from a store to daemons that watch the
// store, pull from each other, receive delayed responses and restart. It checks
// that no daemon reverts to an older version and that all end with the newest
// one.
func TestRecordsNeverRevert(t *testing.T) {
	const daemons, services = 4, 3
	rapid.Check(t, func(t *rapid.T) {
		var store []platform.Object
		version := platform.Version(0)
		catalogues := make([]*Catalogue, daemons)
		inForce := make([][services]platform.Version, daemons)
		for i := range catalogues {
			catalogues[i] = New(newRegistry())
		}
		daemon := func(t *rapid.T) int { return rapid.IntRange(0, daemons-1).Draw(t, "daemon") }
		since := func(after platform.Version) []platform.Object {
			latest := map[string]platform.Object{}
			for _, o := range store {
				latest[o.Name] = o
			}
			var out []platform.Object
			for _, o := range latest {
				if o.Version > after {
					out = append(out, o)
				}
			}
			return out
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				version++
				s := rapid.IntRange(0, services-1).Draw(t, "service")
				store = append(store, serviceObject(fmt.Sprintf("s%d", s), version, rapid.IntRange(-1, 9).Draw(t, "slots")))
			},
			"watch": func(t *rapid.T) {
				c := catalogues[daemon(t)]
				c.Apply(ObjectKind, since(c.Version(ObjectKind)))
			},
			"pull": func(t *rapid.T) {
				c, from := catalogues[daemon(t)], catalogues[daemon(t)]
				c.Apply(ObjectKind, from.ChangesSince(ObjectKind, c.Version(ObjectKind)))
			},
			"delayed response": func(t *rapid.T) {
				if len(store) > 0 {
					catalogues[daemon(t)].Apply(ObjectKind, []platform.Object{store[rapid.IntRange(0, len(store)-1).Draw(t, "object")]})
				}
			},
			"restart": func(t *rapid.T) {
				i := daemon(t)
				catalogues[i] = New(newRegistry())
				inForce[i] = [services]platform.Version{}
			},
			"": func(t *rapid.T) {
				for i, c := range catalogues {
					for s := range services {
						config, ok := c.Service(fmt.Sprintf("s%d", s))
						if !ok {
							continue
						}
						if platform.Version(config.Version) < inForce[i][s] {
							t.Fatalf("daemon %d reverted from version %d to %d", i, inForce[i][s], config.Version)
						}
						inForce[i][s] = platform.Version(config.Version)
					}
				}
			},
		})
		// The reference applies all objects of the store at once.
		reference := New(newRegistry())
		reference.Apply(ObjectKind, since(0))
		for _, c := range catalogues {
			c.Apply(ObjectKind, since(0))
			if got, want := c.Version(ObjectKind), reference.Version(ObjectKind); got != want {
				t.Fatalf("catalogue is at version %d, want %d", got, want)
			}
		}
	})
}

// BenchmarkApplyToCatalogue measures applying one changed record to a catalogue
// of n records, and the memory per record.
func BenchmarkApplyToCatalogue(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := New(newRegistry())
			for i := range n {
				c.Apply(ObjectKind, []platform.Object{serviceObject(fmt.Sprintf("s%d", i), platform.Version(i+1), 2)})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			defer func() { b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/record") }()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.Apply(ObjectKind, []platform.Object{serviceObject("s0", platform.Version(n+i+2), 2)})
			}
		})
	}
}
