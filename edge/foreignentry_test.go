package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// withoutEachField returns copies of a JSON object that each lack one field, at any depth.
func withoutEachField(t *testing.T, object json.RawMessage) map[string]json.RawMessage {
	var fields map[string]json.RawMessage
	qt.Assert(t, json.Unmarshal(object, &fields), qt.IsNil)
	out := map[string]json.RawMessage{}
	encode := func(path string) {
		value, err := json.Marshal(fields)
		qt.Assert(t, err, qt.IsNil)
		out[path] = value
	}
	for name, value := range fields {
		delete(fields, name)
		encode(name)
		if value[0] == '{' {
			for inner, part := range withoutEachField(t, value) {
				fields[name] = part
				encode(name + "." + inner)
			}
		}
		fields[name] = value
	}
	return out
}

// An entry of another writer made a sound owner of keys count as ended, so that two targets held its keys.
func TestForeignEntryEndsNoOwner(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 1)
	servers := []*standin.Server{
		h.server(standin.ServerOptions{Name: "a", Service: "stock", Keyed: true}),
		h.server(standin.ServerOptions{Name: "b", Service: "stock", Keyed: true}),
	}
	h.configure([]platform.Route{route("stock", "/holders/", platform.Idempotent)}, keyed("stock"))
	const k = 0
	var owner *standin.Server
	h.eventually("owned", func() bool {
		for _, s := range servers {
			if _, ok := s.Holds(k); ok {
				owner = s
			}
		}
		return owner != nil
	})
	entry := func(service string) json.RawMessage {
		value, err := platform.EncodeTarget(platform.Target{
			Name: "other", StartedAt: time.Now(), Service: service, Address: owner.Address(), DataCentre: "leicester", Slots: 1,
		}, 1)
		c.Assert(err, qt.IsNil)
		return value
	}
	entries := withoutEachField(t, entry("stock"))
	c.Assert(len(entries) >= 9, qt.IsTrue)
	entries["service that is not configured"] = entry("node-agent")
	written := 0
	for name, value := range entries {
		written++
		_, err := h.store.Put(context.Background(), platform.KindTargets, fmt.Sprint("other-", written), value, platform.Unconditional())
		c.Assert(err, qt.IsNil)
		for end := time.Now().Add(applyTime / 4); time.Now().Before(end); time.Sleep(10 * time.Millisecond) { // samples running targets
			for _, s := range servers {
				_, holds := s.Holds(k)
				c.Assert(holds, qt.Equals, s == owner, qt.Commentf("%s, after an entry of another writer: %s", s.Name(), name))
			}
		}
	}
}
