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

// ErrDaemonUnavailable reports that the state of a daemon could not be read, or that a
// daemon did not report a version in time.
var ErrDaemonUnavailable = eris.New("operator: daemon unavailable")

// readTimeout is the timeout of a request to a daemon.
const readTimeout = 3 * time.Second

// ReadDaemon returns the document at a path of a daemon's control address, such as
// /status. It returns ErrDaemonUnavailable if the request fails or its status is
// not 200.
func ReadDaemon(ctx context.Context, daemon netip.AddrPort, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	pool := lane.NewPool(daemon, 0)
	resp, err := pool.RoundTrip(ctx, lane.Request{Method: "GET", Path: path})
	if err != nil {
		return nil, eris.Wrapf(ErrDaemonUnavailable, "%v", err)
	}
	if resp.Status != 200 {
		return nil, eris.Wrapf(ErrDaemonUnavailable, "%s returned status %d", daemon, resp.Status)
	}
	return resp.Body, nil
}

// LiveDaemons returns the control addresses of the live hosts in the platform's
// list, sorted.
func (o *Operator) LiveDaemons(ctx context.Context) ([]netip.AddrPort, error) {
	hosts, err := o.store.Hosts(ctx)
	if err != nil {
		return nil, wrapStoreError(err)
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

// AwaitInForce waits until each daemon has records in force that are at least as
// new as version. It returns ErrDaemonUnavailable when ctx is done first.
func AwaitInForce(ctx context.Context, daemons []netip.AddrPort, version platform.Version) error {
	for _, d := range daemons {
		for {
			v, err := readRecordsVersion(ctx, d)
			if err == nil && v >= version {
				break
			}
			select {
			case <-time.After(inForcePollInterval):
			case <-ctx.Done():
				return eris.Wrapf(ErrDaemonUnavailable, "%s reports records version %d, not %d", d, v, version)
			}
		}
	}
	return nil
}

// readRecordsVersion returns the version of the records in force in a daemon.
func readRecordsVersion(ctx context.Context, d netip.AddrPort) (platform.Version, error) {
	data, err := ReadDaemon(ctx, d, "/status")
	if err != nil {
		return 0, err
	}
	var s struct {
		RecordsVersion platform.Version `json:"records_version"`
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return 0, eris.Wrapf(ErrDaemonUnavailable, "%v", err)
	}
	return s.RecordsVersion, nil
}
