package edge_test

import (
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/relay"
)

// newSplitHarness starts a harness with a target of each service in shares, whose responses name the service, and a route that
// is split between them.
func newSplitHarness(tb testing.TB, hosts int, shares ...platform.WeightedService) *harness {
	h := newHarness(tb, hosts)
	services := make([]platform.Service, 0, len(shares))
	for _, s := range shares {
		h.handlerTarget(s.Service, s.Service, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, s.Service) })
		services = append(services, plain(s.Service))
	}
	h.configure([]platform.Route{route("", "/holders/", platform.AtMostOnce, func(r *platform.Route) { r.Shares = shares })}, services...)
	for host := range h.edges {
		h.waitServing(host, idempotentPath)
	}
	return h
}

// requestsTo returns how many requests a host has counted for a service.
func (h *harness) requestsTo(host int, service string) int {
	return h.metric(host, "redwingtally_requests_total", `service="`+service+`"`)
}

// A split route is decided once: the relay sends a request to the service that the sender has chosen.
func TestRelayFollowsChoiceOfSender(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newSplitHarness(t, 2, platform.WeightedService{Service: "stock", Weight: 1}, platform.WeightedService{Service: "spare", Weight: 1})
	h.awaitRelays()
	h.edges[0].SetCutOff(true)
	ran := map[string]int{}
	for range 20 {
		before := h.requestsTo(0, "spare")
		got := h.do(call{path: idempotentPath})
		c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
		ran[got.body]++
		c.Check(got.body == "spare", qt.Equals, h.requestsTo(0, "spare") > before, qt.Commentf("%s ran the request", got.body))
	}
	c.Check(ran["stock"] >= 8 && ran["spare"] >= 8, qt.IsTrue, qt.Commentf("%v", ran))
}

// A relay chooses itself unless its own configuration sends requests of the route to the stated service.
func TestRelayChoosesUnlessStatedServiceIsInForce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newSplitHarness(t, 1, platform.WeightedService{Service: "stock", Weight: 1}, platform.WeightedService{Service: "spare", Weight: 1},
		platform.WeightedService{Service: "former", Weight: 0})
	tests := []struct {
		stated string
		spare  [2]int // least and greatest number of requests that the service runs
	}{{"spare", [2]int{20, 20}}, {"stock", [2]int{0, 0}}, {"", [2]int{9, 11}}, {"unknown", [2]int{9, 11}}, {"former", [2]int{9, 11}}}
	for _, test := range tests {
		ran := map[string]int{}
		for range 20 {
			got := h.doRelayed(0, relay.Request{Configuration: h.version, Attempts: 1, Service: test.stated})
			c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
			ran[got.body]++
		}
		c.Check(ran["spare"] >= test.spare[0] && ran["spare"] <= test.spare[1], qt.IsTrue, qt.Commentf("%q: %v", test.stated, ran))
		c.Check(ran["stock"]+ran["spare"], qt.Equals, 20, qt.Commentf("%q: %v", test.stated, ran))
	}
}
