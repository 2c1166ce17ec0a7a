package operator

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/lane"
	"github.com/redwingtally/redwingtally/platform"
)

// ErrDaemon reports that a daemon gave no answer.
var ErrDaemon = eris.New("operator: daemon unavailable")

// readTimeout bounds the reading of a daemon's report.
const readTimeout = 3 * time.Second

// Read returns the JSON document at path of a daemon's control address, or ErrDaemon.
func Read(ctx context.Context, daemon netip.AddrPort, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	pool := lane.NewPool(daemon, 0)
	reply, err := pool.RoundTrip(ctx, lane.Request{Method: "GET", Path: path})
	if err != nil {
		return nil, eris.Wrapf(ErrDaemon, "%v", err)
	}
	if reply.Status != 200 {
		return nil, eris.Wrapf(ErrDaemon, "%s answered status %d", daemon, reply.Status)
	}
	return reply.Body, nil
}

// Daemons returns the control addresses of the daemons in the platform's list.
func (o *Operator) Daemons(ctx context.Context) ([]netip.AddrPort, error) {
	hosts, err := o.store.Hosts(ctx)
	if err != nil {
		return nil, translate(err)
	}
	var out []netip.AddrPort
	for _, h := range hosts {
		if h.State == platform.HostLive {
			out = append(out, h.Control)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out, nil
}

// AwaitInForce waits until all daemons report records at least as new as version.
func AwaitInForce(ctx context.Context, daemons []netip.AddrPort, version platform.Version) error {
	for _, d := range daemons {
		for {
			v, err := recordsVersion(ctx, d)
			if err == nil && v >= version {
				break
			}
			select {
			case <-time.After(InForcePoll):
			case <-ctx.Done():
				return eris.Wrapf(ErrDaemon, "%s reports version %d, not %d", d, v, version)
			}
		}
	}
	return nil
}

func recordsVersion(ctx context.Context, d netip.AddrPort) (platform.Version, error) {
	data, err := Read(ctx, d, "/status")
	if err != nil {
		return 0, err
	}
	var s struct {
		Records platform.Version `json:"records_version"`
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return 0, eris.Wrapf(ErrDaemon, "%v", err)
	}
	return s.Records, nil
}
