package coordination

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/feed"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
)

// newRelayLeader returns the leader of hosts named host-0, host-1 and so on, which are divided among data centres in turn and
// have all reported as relays.
func newRelayLeader(hosts, dataCentres int) *leader {
	l := newTestLeader()
	l.member.options.Feed = feed.New()
	l.member.options.StoreUnreachable = func() bool { return false }
	l.member.options.ObjectsChanged = func([]platform.Object) {}
	l.confirmedAt = now().Add(time.Hour)
	l.views.publish(Version{Term: 1, Number: 1}, map[string][]ownership.Holding{}, nil)
	l.relaysScheduled = true // these reports wake none that wait later
	for i := range hosts {
		l.applyReport(relayReport(i, dataCentres))
	}
	l.relaysScheduled = false
	return l
}

// relayReport returns the report of a relay.
func relayReport(i, dataCentres int) *Report {
	host := fmt.Sprint("host-", i)
	return &Report{
		Host: host, Process: host + "/1", DataCentre: fmt.Sprint("centre-", i%dataCentres), AcceptsRelayed: true, AcceptsPacked: true,
		RelayAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7620), View: Version{Term: 1, Number: 1},
	}
}

// listOf returns the relays that a reply to a report without a list contains.
func (l *leader) listOf(r *Report) []Relay {
	copied := *r
	copied.KnownRelays = 0
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.summary != nil {
		l.summary.createdAt = time.Time{}
	}
	return l.buildReply(&copied).Relays
}

// hostsOf returns the hosts of relays.
func hostsOf(relays []Relay) []string {
	out := make([]string, 0, len(relays))
	for _, r := range relays {
		out = append(out, r.Host)
	}
	return out
}

// A host's list has maxRelays relays at most, half of them of its own data centre if that has as many, and never the host.
func TestRelayListsPreferTheOwnDataCentre(t *testing.T) {
	tests := []struct {
		hosts, dataCentres int
		near, far          int // relays of the own data centre and of others in the list of host 0
	}{
		{1, 1, 0, 0},
		{2, 1, 1, 0},
		{2, 2, 0, 1},
		{8, 1, 7, 0},
		{8, 2, 3, 4},
		{8, 4, 1, 6},
		{12, 6, 1, 7},
		{64, 1, 8, 0},
		{64, 4, 4, 4},
		{64, 32, 1, 7},
		{295, 5, 4, 4},
	}
	for _, test := range tests {
		c := qt.New(t)
		comment := qt.Commentf("%d hosts, %d data centres", test.hosts, test.dataCentres)
		l := newRelayLeader(test.hosts, test.dataCentres)
		for i := range test.hosts {
			r := relayReport(i, test.dataCentres)
			list := l.listOf(r)
			near, seen := 0, map[string]bool{r.Host: true}
			for n, relay := range list {
				c.Check(seen[relay.Host], qt.IsFalse, comment)
				seen[relay.Host] = true
				if relay.DataCentre == r.DataCentre {
					c.Check(near, qt.Equals, n, comment) // those of the own data centre come first
					near++
				}
			}
			c.Check(len(list) <= maxRelays, qt.IsTrue, comment)
			if i == 0 {
				c.Check([]int{near, len(list) - near}, qt.DeepEquals, []int{test.near, test.far}, comment)
			}
		}
	}
}

// Cut-off hosts use different relays: each relay is in few lists, and the first in few.
func TestRelayListsAreSpread(t *testing.T) {
	tests := []struct {
		hosts, dataCentres int
		cutOff             func(i int) bool
	}{
		{8, 2, func(i int) bool { return i < 4 }},
		{64, 4, func(i int) bool { return i < 32 }},
		{64, 4, func(i int) bool { return i%4 == 0 }}, // a whole data centre
		{295, 5, func(i int) bool { return i < 147 }},
		{295, 5, func(i int) bool { return i%5 == 0 }},
		{295, 5, func(i int) bool { return i > 19 }}, // all but 20
	}
	for _, test := range tests {
		c := qt.New(t)
		l := newRelayLeader(test.hosts, test.dataCentres)
		senders := 0
		for i := range test.hosts {
			if test.cutOff(i) {
				r := relayReport(i, test.dataCentres)
				r.CutOff = true
				l.applyReport(r)
				senders++
			}
		}
		inLists, first := map[string]int{}, map[string]int{}
		for i := range test.hosts {
			if !test.cutOff(i) {
				continue
			}
			list := l.listOf(relayReport(i, test.dataCentres))
			for n, relay := range list {
				inLists[relay.Host]++
				if n == 0 {
					first[relay.Host]++
				}
			}
		}
		relays := test.hosts - senders
		perList := float64(min(maxRelays, relays))
		perRelay, firstPerRelay := float64(senders)*perList/float64(relays), float64(senders)/float64(relays)
		// The bounds are five standard deviations above the mean of lists that are drawn at random.
		most, mostFirst := perRelay+5*math.Sqrt(perRelay), firstPerRelay+5*math.Sqrt(firstPerRelay)
		for host := range inLists {
			c.Check(float64(inLists[host]) <= most, qt.IsTrue, qt.Commentf("%d hosts: %s is in %d of %d lists", test.hosts, host, inLists[host], senders))
			c.Check(float64(first[host]) <= mostFirst, qt.IsTrue, qt.Commentf("%d hosts: %s is first in %d of %d lists", test.hosts, host, first[host], senders))
		}
		used := float64(relays) * (1 - math.Exp(-perRelay)) // mean of lists that are drawn at random
		c.Check(float64(len(inLists)) > 0.9*used, qt.IsTrue, qt.Commentf("%d hosts: %d of %d relays are in a list", test.hosts, len(inLists), relays))
	}
}

// When a relay leaves, only the lists that contained it change, each by one relay. When it returns, they are as before.
func TestRelayListsChangeLittle(t *testing.T) {
	const hosts, dataCentres = 64, 4
	c := qt.New(t)
	l := newRelayLeader(hosts, dataCentres)
	lists := func() [][]string {
		out := make([][]string, 0, hosts)
		for i := range hosts {
			out = append(out, hostsOf(l.listOf(relayReport(i, dataCentres))))
		}
		return out
	}
	before := lists()
	leaving := relayReport(7, dataCentres)
	leaving.AcceptsRelayed = false
	l.applyReport(leaving)
	after := lists()
	changed := 0
	for i := range hosts {
		if !slices.Contains(before[i], leaving.Host) {
			c.Check(after[i], qt.DeepEquals, before[i])
			continue
		}
		changed++
		kept := slices.DeleteFunc(slices.Clone(before[i]), func(h string) bool { return h == leaving.Host })
		rest := slices.DeleteFunc(slices.Clone(after[i]), func(h string) bool { return !slices.Contains(kept, h) })
		c.Check(rest, qt.DeepEquals, kept)
		c.Check(after[i], qt.HasLen, len(before[i]))
	}
	c.Check(changed > 0 && changed < hosts/3, qt.IsTrue, qt.Commentf("%d lists changed", changed))
	l.applyReport(relayReport(7, dataCentres))
	c.Check(lists(), qt.DeepEquals, before)
}

// A host is in lists while it is a usable relay, and at its newest address.
func TestUnusableRelaysLeaveTheLists(t *testing.T) {
	tests := []struct {
		name   string
		change func(l *leader, r *Report)
		want   []string // list of host-0
	}{
		{"usable", func(*leader, *Report) {}, []string{"host-1"}},
		{"cut off", func(_ *leader, r *Report) { r.CutOff = true }, []string{}},
		{"stopping", func(_ *leader, r *Report) { r.AcceptsRelayed = false }, []string{}},
		{"earlier build, or relaying is off", func(_ *leader, r *Report) {
			r.RelayAddress, r.AcceptsRelayed, r.DataCentre = netip.AddrPort{}, false, ""
		}, []string{}},
		{"restarted", func(_ *leader, r *Report) { r.Process = "host-1/2" }, []string{"host-1"}},
		{"restarted and not ready", func(_ *leader, r *Report) { r.Process, r.AcceptsRelayed = "host-1/2", false }, []string{}},
		{"lost", func(l *leader, _ *Report) {
			l.hosts["host-1/1"].receivedAt = now().Add(-hostExpiry - time.Second)
		}, []string{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newRelayLeader(2, 1)
			r := relayReport(1, 1)
			test.change(l, r)
			if test.name != "lost" {
				l.applyReport(r)
			}
			qt.Check(t, hostsOf(l.listOf(relayReport(0, 1))), qt.DeepEquals, test.want)
		})
	}
}

// A list is sent only if the sender has another one. A new coordinator selects the same list, and sends none to a host
// that has one until all hosts have reported to it.
func TestRelayListsAreSentOnce(t *testing.T) {
	const hosts, dataCentres = 20, 2
	report := func(version uint64) *Report {
		r := relayReport(0, dataCentres)
		r.KnownRelays = version
		return r
	}
	version := newRelayLeader(hosts, dataCentres).buildReply(report(0)).RelaysVersion
	tests := []struct {
		name     string
		leader   *leader
		known    uint64
		expected int           // hosts that reported to the predecessor
		age      time.Duration // of the term
		sent     bool
	}{
		{"has none", newRelayLeader(hosts, dataCentres), 0, hosts, 0, true},
		{"has it", newRelayLeader(hosts, dataCentres), version, hosts, 0, false},
		{"has another", newRelayLeader(hosts, dataCentres), version + 1, hosts, 0, true},
		{"all other relays are gone", newRelayLeader(1, 1), version, 1, 0, true},
		{"new coordinator, some hosts have not reported", newRelayLeader(hosts-9, dataCentres), version, hosts, 0, false},
		{"new coordinator whose document counts too few hosts", hostsKnownBefore(newRelayLeader(1, 1), hosts), version, 1, 0, false},
		{"new coordinator, sender has no relay", newRelayLeader(hosts-9, dataCentres), noRelaysVersion, hosts, 0, true},
		{"new coordinator, sender has no list", newRelayLeader(hosts-9, dataCentres), 0, hosts, 0, true},
		{"some hosts are lost", newRelayLeader(hosts-9, dataCentres), version, hosts, relaySettleTime, true},
	}
	for _, test := range tests {
		c := qt.New(t)
		test.leader.expectedHosts, test.leader.startedAt = test.expected, now().Add(-test.age)
		reply := test.leader.buildReply(report(test.known))
		c.Check(reply.RelaysVersion != 0, qt.Equals, test.sent, qt.Commentf(test.name))
		c.Check(len(reply.Relays) > 0, qt.Equals, test.sent && len(test.leader.hosts) > 1, qt.Commentf(test.name))
	}
}

// hostsKnownBefore sets the number of hosts that the leader's host knew when the term started.
func hostsKnownBefore(l *leader, hosts int) *leader {
	l.hostsBefore = hosts
	return l
}

// An earlier build sends nothing about relays. It gets no list, also if its host is cut off.
func TestEarlierBuildsGetNoRelays(t *testing.T) {
	c := qt.New(t)
	l := newRelayLeader(8, 2)
	r := &Report{Host: "old", Process: "old/1", AcceptsPacked: true}
	l.applyReport(r)
	reply := l.buildReply(r)
	c.Check(reply.Relays, qt.HasLen, 0)
	c.Check(reply.RelaysVersion, qt.Equals, uint64(0))
	c.Check(l.needsRelays(r), qt.IsFalse)
	for i := range 8 {
		c.Check(slices.Contains(hostsOf(l.listOf(relayReport(i, 2))), "old"), qt.IsFalse)
	}
}

// maxRelayBytes bounds what a list adds to a reply.
const maxRelayBytes = 900

// A list adds a bounded number of bytes to a reply, whatever the number of hosts, and an unchanged one adds none.
func TestRelayListsAreSmall(t *testing.T) {
	for _, hosts := range []int{8, 64, 295} {
		c := qt.New(t)
		l := newRelayLeader(hosts, 4)
		size := func(r *Report) int {
			data, err := codec{}.Marshal(l.buildReply(r))
			c.Assert(err, qt.IsNil)
			return len(data)
		}
		r := relayReport(0, 4)
		with := size(r)
		r.KnownRelays = l.buildReply(r).RelaysVersion
		without := size(r)
		old := *r
		old.RelayAddress, old.KnownRelays = netip.AddrPort{}, 0
		l.hosts[r.Process].self.Address = netip.AddrPort{}
		c.Check(size(&old), qt.Equals, without)
		c.Check(with-without > 0 && with-without <= maxRelayBytes, qt.IsTrue, qt.Commentf("%d hosts: %d bytes", hosts, with-without))
		t.Logf("%d hosts: a list adds %d bytes to a reply of %d", hosts, with-without, without)
	}
}

// BenchmarkRelays measures replies to all hosts in turn, with nothing else to send. "changes" means that one host
// stops or starts being a relay before each reply.
func BenchmarkRelays(b *testing.B) {
	for _, hosts := range []int{8, 295} {
		for _, changes := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d_hosts/changes=%t", hosts, changes), func(b *testing.B) {
				l := newRelayLeader(hosts, 4)
				size, i := 0, 0
				known := make([]uint64, hosts)
				for b.Loop() {
					l.mu.Lock()
					if i++; changes {
						changed := relayReport(i/7%hosts, 4)
						changed.AcceptsRelayed = i%2 == 0
						l.applyReport(changed)
						l.summary = nil
					}
					r := relayReport(i%hosts, 4)
					r.KnownRelays = known[i%hosts]
					reply := l.buildReply(r)
					l.mu.Unlock()
					if reply.RelaysVersion != 0 {
						known[i%hosts] = reply.RelaysVersion
					}
					data, err := codec{}.Marshal(reply)
					if err != nil {
						b.Fatal(err)
					}
					size += len(data)
				}
				b.ReportMetric(float64(size)/float64(b.N), "bytes/op")
			})
		}
	}
}
