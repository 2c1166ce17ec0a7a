package standin

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/target"
)

// TestRejectionsAreMarkedNotRun sends requests that a target rejects. The daemon's
// client must learn from the response that the target did not run them.
func TestRejectionsAreMarkedNotRun(t *testing.T) {
	tests := []struct {
		name    string
		options TargetOptions
		faults  TargetFaults
		err     error
	}{
		{"without a grant", TargetOptions{ChecksGrants: true}, TargetFaults{}, target.ErrNotOwner},
		{"overloaded", TargetOptions{}, TargetFaults{Overloaded: true}, target.ErrNotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			tg, err := StartTarget(netip.MustParseAddrPort("127.0.0.1:0"), test.options)
			c.Assert(err, qt.IsNil)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			defer func() { _ = tg.Stop(ctx) }()
			tg.SetFaults(test.faults)
			client := target.New("t", tg.Address(), 1)
			var req protocol.Request
			var resp protocol.Response
			req.SetRequestURI("http://target/pages")
			req.Header.Set(target.ShardHeader, "0")
			req.Header.Set(target.TermHeader, "1")
			_, err = client.Send(ctx, &req, &resp)
			client.Close()
			c.Assert(err, qt.ErrorIs, test.err)
		})
	}
}
