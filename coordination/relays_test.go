package coordination

import (
	"encoding/json"
	"log/slog"
	"net/netip"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/feed"
	"github.com/redwingtally/redwingtally/ownership"
)

// testRelay returns the relay of a host in a data centre.
func testRelay(host, dataCentre string) Relay {
	return Relay{Host: host, Address: netip.MustParseAddrPort("10.0.0.1:7620"), DataCentre: dataCentre}
}

// The list of relays stays the same until a coordinator sends another one, also across a change of coordinator.
func TestRelaysAreKeptUntilAnotherListArrives(t *testing.T) {
	first, second := []Relay{testRelay("a", "x")}, []Relay{testRelay("b", "y"), testRelay("c", "")}
	tests := []struct {
		name        string
		coordinator string
		reply       Reply
		want        []Relay
		wantVersion uint64
	}{
		{"no list yet", "p", Reply{}, nil, 0},
		{"first list", "p", Reply{Relays: first, RelaysVersion: 5}, first, 5},
		{"unchanged", "p", Reply{}, first, 5},
		{"another coordinator, no list yet", "q", Reply{View: &View{Version: Version{Term: 9}}}, first, 5},
		{"another list", "q", Reply{Relays: second, RelaysVersion: 7}, second, 7},
		{"no relay is left", "q", Reply{RelaysVersion: 8}, nil, 8},
	}
	c := qt.New(t)
	m := New(Options{
		Log: slog.New(slog.DiscardHandler), Feed: feed.New(), StateUpdated: func() {}, SetStoreUnavailable: func(bool) {},
		CollectReport: func() Report { return Report{} },
	})
	for _, test := range tests {
		m.applyReply(&ownership.Document{Coordinator: test.coordinator}, &test.reply)
		c.Check(reflect.DeepEqual(m.State().Relays, test.want), qt.IsTrue, qt.Commentf(test.name))
		c.Check(m.ownReport(0).KnownRelays, qt.Equals, test.wantVersion, qt.Commentf(test.name))
	}
	m.assumeHosts(&ownership.Document{HostCount: 90})
	c.Check(m.ownReport(0).KnownRelays, qt.Equals, uint64(8))
}

// A report carries what the options say of this host.
func TestReportsCarryTheRelayState(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:7620")
	yes, no := func() bool { return true }, func() bool { return false }
	tests := []struct {
		name    string
		options Options
		want    Report
	}{
		{"relaying is off", Options{}, Report{}},
		{"relay", Options{RelayAddress: address, DataCentre: "x", CutOff: no, AcceptsRelayed: yes}, Report{RelayAddress: address, DataCentre: "x", AcceptsRelayed: true}},
		{"cut off", Options{RelayAddress: address, CutOff: yes, AcceptsRelayed: no}, Report{RelayAddress: address, CutOff: true}},
	}
	for _, test := range tests {
		test.options.Log = slog.New(slog.DiscardHandler)
		var got Report
		New(test.options).addRelayState(&got)
		qt.Check(t, reflect.DeepEqual(got, test.want), qt.IsTrue, qt.Commentf("%s: %+v", test.name, got))
	}
}

// A report or reply without relays is encoded as by earlier builds, and one with them survives encoding.
func TestRelayFieldsAreLeftOutIfUnset(t *testing.T) {
	fields := []string{"relay_address", "data_centre", "cut_off", "accepts_relayed", "known_relays", "relays", "relays_version"}
	relays := []Relay{testRelay("a", "x"), testRelay("b", "")}
	report := Report{RelayAddress: relays[0].Address, DataCentre: "x", CutOff: true, AcceptsRelayed: true, KnownRelays: 1<<64 - 1}
	tests := []struct {
		name    string
		message any
		decoded any
		want    []string
	}{
		{"earlier build's report", &Report{}, &Report{}, nil},
		{"earlier build's reply", &Reply{}, &Reply{}, nil},
		{"report", &report, &Report{}, fields[:5]},
		{"reply", &Reply{Relays: relays, RelaysVersion: 1<<64 - 1}, &Reply{}, fields[5:]},
	}
	for _, test := range tests {
		c := qt.New(t)
		data, err := codec{}.Marshal(test.message)
		c.Assert(err, qt.IsNil)
		var object map[string]json.RawMessage
		c.Assert(json.Unmarshal(data, &object), qt.IsNil)
		var got []string
		for _, f := range fields {
			if _, ok := object[f]; ok {
				got = append(got, f)
			}
		}
		c.Check(got, qt.DeepEquals, test.want, qt.Commentf(test.name))
		c.Assert(codec{}.Unmarshal(data, test.decoded), qt.IsNil)
		c.Check(reflect.DeepEqual(test.decoded, test.message), qt.IsTrue, qt.Commentf("%s: %+v", test.name, test.decoded))
	}
}
