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

// A Service answers control calls by functions.
type Service struct {
	// Heartbeat takes a peer's heartbeat.
	Heartbeat func(b Beat)
	// Records returns the objects of a kind that changed after a version, and
	// whether the daemon has learned any.
	Records func(kind string, after platform.Version) ([]platform.Object, bool)
	// Note keeps request ids.
	Note func(n once.Update) bool
	// Recall returns request ids.
	Recall func(group string, term, noted grant.Term) (once.Snapshot, bool)
	// Handover takes a group.
	Handover func(h Handover) bool
}

// Handler returns the path and the HTTP handler of s.
func Handler(s Service) (string, http.Handler) {
	return controlpbconnect.NewControlHandler(handler{s}, connect.WithReadMaxBytes(maxMessage))
}

type handler struct{ s Service }

func (h handler) Records(_ context.Context, r *connect.Request[controlpb.RecordsRequest]) (*connect.Response[controlpb.RecordsResponse], error) {
	objects, known := h.s.Records(r.Msg.GetKind(), platform.Version(r.Msg.GetAfter()))
	out := &controlpb.RecordsResponse{Known: known}
	for _, o := range objects {
		out.Objects = append(out.Objects, &controlpb.Object{Kind: o.Kind, Name: o.Name, Version: uint64(o.Version), Deleted: o.Deleted, Value: o.Value})
	}
	return connect.NewResponse(out), nil
}

func (h handler) Note(_ context.Context, r *connect.Request[controlpb.NoteRequest]) (*connect.Response[controlpb.NoteResponse], error) {
	accepted := h.s.Note(once.Update{
		Group:         r.Msg.GetGroup(),
		Term:          grant.Term(r.Msg.GetTerm()),
		Entries:       decodeEntries(r.Msg.GetIds()),
		Full:          r.Msg.GetBaseline(),
		CompleteSince: time.UnixMilli(r.Msg.GetCompleteUnixMs()),
	})
	return connect.NewResponse(&controlpb.NoteResponse{Accepted: accepted}), nil
}

func (h handler) Recall(_ context.Context, r *connect.Request[controlpb.RecallRequest]) (*connect.Response[controlpb.RecallResponse], error) {
	found, ok := h.s.Recall(r.Msg.GetGroup(), grant.Term(r.Msg.GetTerm()), grant.Term(r.Msg.GetNotedTerm()))
	out := &controlpb.RecallResponse{Found: ok, Ids: encodeEntries(found.Entries), CompleteUnixMs: found.CompleteSince.UnixMilli()}
	return connect.NewResponse(out), nil
}

func (h handler) Handover(_ context.Context, r *connect.Request[controlpb.HandoverRequest]) (*connect.Response[controlpb.HandoverResponse], error) {
	accepted := h.s.Handover(Handover{Group: r.Msg.GetGroup(), Term: grant.Term(r.Msg.GetTerm())})
	return connect.NewResponse(&controlpb.HandoverResponse{Accepted: accepted}), nil
}
