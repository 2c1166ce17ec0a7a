package coordination

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
)

// startStore starts a store in its first era, with a client of another process.
func startStore(t *testing.T) (*standin.Platform, *platform.Client) {
	p, err := standin.StartPlatform(netip.MustParseAddrPort("127.0.0.1:0"), standin.PlatformOptions{Era: platform.FirstEra})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = p.Stop(ctx)
	})
	return p, platform.NewClient(p.Address())
}

// A host whose takeover loses to another process continues with the document that the conflict's response contains, without
// another read: when all hosts start at once, each but one loses.
func TestLostTakeoverContinuesWithTheDocumentOfTheConflict(t *testing.T) {
	tests := []struct {
		name    string
		before  string // the document that the takeover starts from; none if empty
		found   string // written by another process before the takeover is
		restore bool   // the store comes back from a copy of before, in which another process writes
		want    string // the coordinator; no valid document if empty
		era     uint64
		reads   uint64
	}{
		{"no document before", "", `{"coordinator":"other","term":1}`, false, "other", 1, 0},
		{"document replaced", `{"coordinator":"","term":1}`, `{"coordinator":"other","term":2}`, false, "other", 1, 0},
		{"document replaced in a restored store", `{"coordinator":"","term":1}`, `{"coordinator":"other","term":2}`, true, "other", 2, 0},
		{"malformed document", "", `"x"`, false, "", 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			p, other := startStore(t)
			client := platform.NewClient(p.Address())
			m := New(Options{
				Process: "own", Log: slog.New(slog.DiscardHandler), Store: func() *platform.Client { return client }, Random: func() float64 { return 0.5 },
			})
			write := func(value string) platform.Object {
				o, err := other.Put(ctx, documentKind, documentName, json.RawMessage(value), platform.Unconditional())
				c.Assert(err, qt.IsNil)
				return o
			}
			if test.before != "" {
				write(test.before)
			}
			d, version, ok := m.readDocument(ctx)
			c.Assert(ok, qt.IsTrue)
			if test.restore {
				p.Restore(p.Copy())
			}
			want := write(test.found)
			before := p.Counts().Reads

			c.Assert(m.lead(ctx, d, version), qt.IsTrue)
			got, version, ok := m.nextDocument(ctx, m.readDocument)
			c.Assert(ok, qt.IsTrue)
			c.Check(p.Counts().Reads-before, qt.Equals, test.reads)
			c.Check(version, qt.Equals, want.Version)
			c.Check(version.Era(), qt.Equals, test.era)
			c.Assert(got != nil, qt.Equals, test.want != "")
			if got != nil {
				c.Check(got.Coordinator, qt.Equals, test.want)
			}
		})
	}
}

// A coordinator whose write conflicts decides by the document in the conflict's response.
func TestConflictingChangeNeedsNoRead(t *testing.T) {
	change := &ownership.Document{Coordinator: "own", Term: 1, Fence: 5}
	tests := []struct {
		name  string
		found *ownership.Document
		ended bool
	}{
		{"an earlier attempt to write the same change", change, false},
		{"another process", &ownership.Document{Coordinator: "other", Term: 2}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, client := startStore(t)
			l := newTestLeader()
			l.process, l.member.options.Process, l.member.options.Store = "own", "own", func() *platform.Client { return client }
			putDocument(t, client, &ownership.Document{Coordinator: "own", Term: 1})
			_, version, ok := l.member.readDocument(context.Background())
			qt.Assert(t, ok, qt.IsTrue)
			l.version = version
			found := *test.found
			found.Era = platform.FirstEra
			putDocument(t, client, &found)
			before := p.Counts().Reads
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			l.writeChange(ctx, change)
			qt.Check(t, ctx.Err(), qt.IsNil)
			qt.Check(t, l.ended, qt.Equals, test.ended)
			qt.Check(t, p.Counts().Reads-before, qt.Equals, uint64(0))
		})
	}
}

// The document of a conflict is not used once the store is known to be in a later era than the response.
func TestConflictOfAnEarlierEraIsReadAgain(t *testing.T) {
	c := qt.New(t)
	p, client := startStore(t)
	m := New(Options{Log: slog.New(slog.DiscardHandler), Store: func() *platform.Client { return client }})
	putDocument(t, client, &ownership.Document{Coordinator: "other", Term: 1})
	o, err := client.Get(context.Background(), documentKind, documentName)
	c.Assert(err, qt.IsNil)
	c.Check(m.conflicting(o), qt.IsNotNil)
	p.Restore(p.Copy())
	_, _, ok := m.readDocument(context.Background())
	c.Assert(ok, qt.IsTrue)
	c.Check(m.conflicting(o), qt.IsNil)
}
