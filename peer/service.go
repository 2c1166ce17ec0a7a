package peer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/once"
	"github.com/redwingtally/redwingtally/peer/controlpb"
	"github.com/redwingtally/redwingtally/peer/controlpb/controlpbconnect"
	"github.com/redwingtally/redwingtally/platform"
)

// Handlers holds the functions that implement the control calls.
type Handlers struct {
	// Heartbeat processes a heartbeat.
	Heartbeat func(b Heartbeat)
	// Records returns the objects of a kind that are newer than a version, and
	// reports whether the daemon has loaded any records.
	Records func(kind string, after platform.Version) ([]platform.Object, bool)
	// ReplicateIDs stores copies of request ids and reports whether it accepted them.
	ReplicateIDs func(n once.Update) bool
	// FetchIDs returns the request ids stored for a group under the term noted,
	// reports whether they are complete, and rejects later ids of terms below
	// term.
	FetchIDs func(group string, term, noted grant.Term) (once.Snapshot, bool)
	// Handover takes over a group from its holder and reports whether it
	// accepted the request.
	Handover func(h Handover) bool
}

// Handler returns the URL path and the HTTP handler of the control service.
func Handler(s Handlers) (string, http.Handler) {
	return controlpbconnect.NewControlHandler(handler{s}, connect.WithReadMaxBytes(maxMessageBytes))
}

// handler implements the generated Connect interface.
type handler struct{ service Handlers }

func (h handler) Records(_ context.Context, r *connect.Request[controlpb.RecordsRequest]) (*connect.Response[controlpb.RecordsResponse], error) {
	objects, known := h.service.Records(r.Msg.GetKind(), platform.Version(r.Msg.GetAfter()))
	out := &controlpb.RecordsResponse{Known: known}
	for _, o := range objects {
		out.Objects = append(out.Objects, &controlpb.Object{Kind: o.Kind, Name: o.Name, Version: uint64(o.Version), Deleted: o.Deleted, Value: o.Value})
	}
	return connect.NewResponse(out), nil
}

func (h handler) Note(_ context.Context, r *connect.Request[controlpb.NoteRequest]) (*connect.Response[controlpb.NoteResponse], error) {
	accepted := h.service.ReplicateIDs(once.Update{
		Group:         r.Msg.GetGroup(),
		Term:          grant.Term(r.Msg.GetTerm()),
		Entries:       decodeEntries(r.Msg.GetIds()),
		Full:          r.Msg.GetBaseline(),
		CompleteSince: time.UnixMilli(r.Msg.GetCompleteUnixMs()),
	})
	return connect.NewResponse(&controlpb.NoteResponse{Accepted: accepted}), nil
}

func (h handler) Recall(_ context.Context, r *connect.Request[controlpb.RecallRequest]) (*connect.Response[controlpb.RecallResponse], error) {
	found, ok := h.service.FetchIDs(r.Msg.GetGroup(), grant.Term(r.Msg.GetTerm()), grant.Term(r.Msg.GetNotedTerm()))
	out := &controlpb.RecallResponse{Found: ok, Ids: encodeEntries(found.Entries), CompleteUnixMs: found.CompleteSince.UnixMilli()}
	return connect.NewResponse(out), nil
}

func (h handler) Handover(_ context.Context, r *connect.Request[controlpb.HandoverRequest]) (*connect.Response[controlpb.HandoverResponse], error) {
	accepted := h.service.Handover(Handover{Group: r.Msg.GetGroup(), Term: grant.Term(r.Msg.GetTerm())})
	return connect.NewResponse(&controlpb.HandoverResponse{Accepted: accepted}), nil
}
