package edge

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/settings"
)

// Connections that send no request must make room for others, and those with a request must stay.
func TestChooseConnToEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	view := func(a connActivity, idle time.Duration) connView { return connView{a, now.Add(-idle)} }
	const minute = time.Minute
	tests := []struct {
		name   string
		conns  []connView
		index  int
		needed bool
	}{
		{"below the bound", []connView{view(connIdle, minute)}, -1, false},
		{"longest idle", []connView{view(connIdle, minute), view(connIdle, 2*minute), view(connReceiving, 3*minute)}, 1, true},
		{"just opened", []connView{view(connIdle, minConnIdle-1), view(connIdle, 0)}, -1, true},
		{"longest incomplete header", []connView{view(connReceiving, minHeaderWait), view(connReceiving, minute)}, 1, true},
		{"header under way", []connView{view(connReceiving, minHeaderWait-1), view(connBusy, minute)}, -1, true},
		{"with requests", []connView{view(connBusy, minute), view(connBusy, minute)}, -1, true},
		{"longest stalled body", []connView{view(connReceivingBody, minBodyWait), view(connReceivingBody, minute)}, 1, true},
		{"body under way", []connView{view(connReceivingBody, minBodyWait-1), view(connBusy, minute)}, -1, true},
		{"header before body", []connView{view(connReceivingBody, minute), view(connReceiving, minHeaderWait)}, 1, true},
		{"response not read", []connView{view(connWriting, minWriteWait), view(connBusy, minute)}, 0, true},
		{"response under way", []connView{view(connWriting, minWriteWait-1), view(connBusy, minute)}, -1, true},
		{"being closed", []connView{view(connEnding, minute), view(connBusy, minute)}, -1, false},
		{"not enough being closed", []connView{view(connEnding, minute), view(connBusy, minute), view(connIdle, minute)}, 2, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			index, needed := chooseConnToEnd(now, test.conns, 2)
			c.Check(index, qt.Equals, test.index)
			c.Check(needed, qt.Equals, test.needed)
		})
	}
}

func TestMaxCallerConns(t *testing.T) {
	tests := []struct {
		name        string
		memory, set int
		descriptors uint64
		want        int
	}{
		{"small host", 144, 0, 3075, 1152},
		{"large host", 536, 0, 4100, 1922},
		{"few descriptors", 144, 0, 100, 37},
		{"no descriptors", 144, 0, 1, 1},
		{"set", 144, 7, 3075, 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := maxCallerConns(settings.Edge{MemoryMB: test.memory, MaxConnections: test.set}, test.descriptors)
			qt.Check(t, got, qt.Equals, test.want)
		})
	}
}
