package coordination

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/feed"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
)

// newLargeLeader returns the leader of a fleet with the given numbers of hosts and targets,
// and a configuration of 20 kB.
func newLargeLeader(tb testing.TB, hosts, targets int) *leader {
	l := newTestLeader()
	l.member.options.Feed = feed.New()
	l.member.options.StoreUnreachable = func() bool { return false }
	l.confirmedAt = now().Add(time.Hour)
	objects := make([]platform.Object, 0, targets)
	holdings := make([]ownership.Holding, 0, targets)
	for i := range targets {
		value, err := platform.EncodeTarget(platform.Target{
			Name: fmt.Sprint("i-", i), Service: "stock", Slots: 2, StartedAt: time.Unix(1, 0),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9000),
		}, 1)
		qt.Assert(tb, err, qt.IsNil)
		objects = append(objects, platform.Object{Kind: platform.KindTargets, Name: fmt.Sprint("i-", i), Version: platform.Version(i + 1), Value: value})
		holdings = append(holdings, ownership.Holding{KeyRange: platform.KeyRange{First: uint16(i * 80), Last: uint16(i*80 + 79)}, Target: fmt.Sprint("i-", i), Held: true})
	}
	newest := platform.Version(targets + 1)
	l.member.options.Feed.Replace(platform.KindTargets, objects, newest)
	configuration := json.RawMessage(`"` + strings.Repeat("x", 20_000) + `"`)
	l.member.options.Feed.Replace(platform.KindConfiguration, []platform.Object{{Kind: platform.KindConfiguration, Name: "main", Version: newest, Value: configuration}}, newest)
	for i := range hosts {
		l.hosts[fmt.Sprint("host-", i)] = &hostReport{receivedAt: now().Add(time.Hour), rates: map[string]float64{"stock": 1, "deposits": 2}}
	}
	l.views.publish(Version{Term: 1, Number: 1}, map[string][]ownership.Holding{"stock": holdings}, nil)
	return l
}

// replyCases are reports of hosts that lack different things.
var replyCases = []struct {
	name      string
	view      Version
	have      func(newest platform.Version) feed.Versions
	wantBytes int // minimum length of the encoded reply
}{
	{"nothing", Version{1, 1}, func(v platform.Version) feed.Versions {
		return feed.Versions{platform.KindTargets: v, platform.KindConfiguration: v}
	}, 10},
	{"20 targets", Version{1, 1}, func(v platform.Version) feed.Versions {
		return feed.Versions{platform.KindTargets: v - 21, platform.KindConfiguration: v}
	}, 300},
	{"configuration", Version{1, 1}, func(v platform.Version) feed.Versions {
		return feed.Versions{platform.KindTargets: v, platform.KindConfiguration: v - 1}
	}, 100},
	{"view", Version{}, func(v platform.Version) feed.Versions {
		return feed.Versions{platform.KindTargets: v, platform.KindConfiguration: v}
	}, 3000},
	{"all", Version{}, func(platform.Version) feed.Versions { return nil }, 10_000},
}

// Replies with shared parts decode to what they would without, and hosts that lack the
// same share the parts until something newer is known.
func TestRepliesShareTheirParts(t *testing.T) {
	const targets = 800
	for _, test := range replyCases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := newLargeLeader(t, 300, targets)
			reply := func(process string) *Reply {
				return l.buildReply(&Report{Process: process, View: test.view, FeedVersions: test.have(targets + 1), AcceptsPacked: true})
			}
			first, second := reply("host-1"), reply("host-2")
			c.Check(first.sharedFeed == second.sharedFeed && first.sharedView == second.sharedView, qt.IsTrue)
			data, err := codec{}.Marshal(first)
			c.Assert(err, qt.IsNil)
			c.Check(len(data) >= test.wantBytes, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
			plain, err := json.Marshal(first)
			c.Assert(err, qt.IsNil)
			var got, want Reply
			c.Assert(codec{}.Unmarshal(data, &got), qt.IsNil)
			c.Assert(json.Unmarshal(plain, &want), qt.IsNil)
			c.Check(reflect.DeepEqual(got, want), qt.IsTrue)

			l.member.options.Feed.Apply(platform.KindTargets, []platform.Object{{Kind: platform.KindTargets, Name: "i-1", Deleted: true}}, targets+2)
			l.views.publish(Version{Term: 1, Number: 2}, map[string][]ownership.Holding{}, nil)
			next := reply("host-1")
			c.Check(next.sharedFeed != nil && next.sharedFeed != first.sharedFeed, qt.IsTrue)
			c.Check(next.sharedView != nil && next.sharedView != first.sharedView, qt.IsTrue)
			c.Check(next.Feed[platform.KindTargets].Version, qt.Equals, platform.Version(targets+2))
			c.Check(next.View.Version, qt.Equals, Version{Term: 1, Number: 2})
		})
	}
}

// A host of an earlier build, which does not know packed parts, gets them as before.
func TestEarlierBuildsGetPlainReplies(t *testing.T) {
	c := qt.New(t)
	l := newLargeLeader(t, 3, 10)
	data, err := codec{}.Marshal(l.buildReply(&Report{Process: "host-1"}))
	c.Assert(err, qt.IsNil)
	var fields map[string]json.RawMessage
	c.Assert(json.Unmarshal(data, &fields), qt.IsNil)
	c.Check(len(fields["view"]) > 0 && len(fields["feed"]) > 0, qt.IsTrue)
	c.Check(len(fields["packed_view"])+len(fields["packed_feed"]), qt.Equals, 0)
}

// BenchmarkReply measures the replies to 300 hosts that lack the same.
func BenchmarkReply(b *testing.B) {
	const targets = 800
	for _, test := range replyCases {
		b.Run(strings.ReplaceAll(test.name, " ", "_"), func(b *testing.B) {
			l := newLargeLeader(b, 300, targets)
			size, r := 0, &Report{Process: "host-1", View: test.view, FeedVersions: test.have(targets + 1), AcceptsPacked: true}
			for b.Loop() {
				data, err := codec{}.Marshal(l.buildReply(r))
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
