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
	Heartbeat func(heartbeat Heartbeat)
	// Records returns the objects of a kind that are newer than a version, and
	// reports whether the daemon has loaded any records.
	Records func(kind string, after platform.Version) ([]platform.Object, bool)
	// ReplicateIDs stores copies of request ids and reports whether it accepted them.
	ReplicateIDs func(update once.Update) bool
	// FetchIDs returns the request ids stored for a group under storedTerm and
	// reports whether they are complete. From then on, request ids under terms
	// below term are rejected.
	FetchIDs func(group string, term, storedTerm grant.Term) (once.Snapshot, bool)
	// Handover takes over a group from its holder and reports whether it
	// accepted the request.
	Handover func(h Handover) bool
}

// Handler returns the URL path and the HTTP handler of the control service, whose
// calls are implemented by h.
func Handler(h Handlers) (string, http.Handler) {
	return controlpbconnect.NewControlHandler(handler{h}, connect.WithReadMaxBytes(maxMessageBytes))
}

// handler implements controlpbconnect.ControlHandler.
type handler struct{ handlers Handlers }

func (h handler) Records(_ context.Context, r *connect.Request[controlpb.RecordsRequest]) (*connect.Response[controlpb.RecordsResponse], error) {
	objects, loaded := h.handlers.Records(r.Msg.GetKind(), platform.Version(r.Msg.GetAfter()))
	out := &controlpb.RecordsResponse{Known: loaded}
	for _, o := range objects {
		out.Objects = append(out.Objects, &controlpb.Object{Kind: o.Kind, Name: o.Name, Version: uint64(o.Version), Deleted: o.Deleted, Value: o.Value})
	}
	return connect.NewResponse(out), nil
}

func (h handler) Note(_ context.Context, r *connect.Request[controlpb.NoteRequest]) (*connect.Response[controlpb.NoteResponse], error) {
	accepted := h.handlers.ReplicateIDs(once.Update{
		Group:         r.Msg.GetGroup(),
		Term:          grant.Term(r.Msg.GetTerm()),
		Entries:       decodeEntries(r.Msg.GetIds()),
		Full:          r.Msg.GetBaseline(),
		CompleteSince: time.UnixMilli(r.Msg.GetCompleteUnixMs()),
	})
	return connect.NewResponse(&controlpb.NoteResponse{Accepted: accepted}), nil
}

func (h handler) Recall(_ context.Context, r *connect.Request[controlpb.RecallRequest]) (*connect.Response[controlpb.RecallResponse], error) {
	snapshot, ok := h.handlers.FetchIDs(r.Msg.GetGroup(), grant.Term(r.Msg.GetTerm()), grant.Term(r.Msg.GetNotedTerm()))
	out := &controlpb.RecallResponse{Found: ok, Ids: encodeEntries(snapshot.Entries), CompleteUnixMs: snapshot.CompleteSince.UnixMilli()}
	return connect.NewResponse(out), nil
}

func (h handler) Handover(_ context.Context, r *connect.Request[controlpb.HandoverRequest]) (*connect.Response[controlpb.HandoverResponse], error) {
	accepted := h.handlers.Handover(Handover{Group: r.Msg.GetGroup(), Term: grant.Term(r.Msg.GetTerm())})
	return connect.NewResponse(&controlpb.HandoverResponse{Accepted: accepted}), nil
}
