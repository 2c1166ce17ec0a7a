package holder

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/internal/fields"
	"github.com/redwingtally/redwingtally/platform"
)

// ObjectKind is the kind of the store's objects that hold groups.
const ObjectKind = "group"

// ErrSuperseded reports that the store holds a higher term.
var ErrSuperseded = eris.New("holder: the store holds a higher term")

// ErrStore reports that the store gave no answer.
var ErrStore = eris.New("holder: store unavailable")

// A GroupObject is what the store keeps of a group.
type GroupObject struct {
	SchemaVersion int        `json:"schema_version"`
	Term          grant.Term `json:"term"`
	// Holder names the daemon that wrote the term.
	Holder string `json:"holder"`
	// Epoch is the version of Voters.
	Epoch  uint64  `json:"epoch"`
	Voters []Voter `json:"voters,omitempty"`
	// Owners lists the owner of each shard as last recorded.
	Owners []string `json:"owners,omitempty"`
	// Hot lists the keys that have a shard of their own.
	Hot []HotKey `json:"hot,omitempty"`
	// NotedTerm is the term whose request ids the keepers keep.
	NotedTerm grant.Term `json:"noted_term,omitempty"`
	Keepers   []Keeper   `json:"keepers,omitempty"`
	// Unknown holds fields of newer versions.
	Unknown fields.Unknown `json:"-"`
}

// A Voter is a server that votes for terms.
type Voter struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
}

// A Keeper is a daemon that keeps copies of request ids.
type Keeper struct {
	Name    string         `json:"name"`
	Control netip.AddrPort `json:"control"`
}

type plainObject GroupObject

// UnmarshalJSON decodes an object and keeps unknown fields.
func (o *GroupObject) UnmarshalJSON(data []byte) (err error) {
	o.Unknown, err = fields.Decode(data, (*plainObject)(o))
	return err
}

// MarshalJSON encodes an object with its unknown fields.
func (o GroupObject) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainObject(o), o.Unknown)
}

// objectVersion is the schema version of GroupObject.
const objectVersion = 1

// storeTimeout bounds a call of the store on behalf of a group.
const storeTimeout = 500 * time.Millisecond

// readObject reads a group's object; an absent one is the zero object at version 0.
func readObject(ctx context.Context, store *platform.Store, group string) (GroupObject, platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := store.Get(ctx, ObjectKind, group)
	if eris.Is(err, platform.ErrNotFound) {
		return GroupObject{SchemaVersion: objectVersion}, 0, nil
	}
	if err != nil {
		return GroupObject{}, 0, eris.Wrapf(ErrStore, "%v", err)
	}
	var g GroupObject
	if err := json.Unmarshal(obj.Value, &g); err != nil {
		return GroupObject{}, 0, eris.Wrapf(ErrStore, "group %s: %v", group, err)
	}
	return g, obj.Version, nil
}

// updateObject changes a group's object under a term. It reads, lets change
// edit, and writes conditionally; a race is tried again, a lost answer is
// settled by reading back. It returns ErrSuperseded when a higher term stands.
func updateObject(ctx context.Context, store *platform.Store, group string, term grant.Term, change func(*GroupObject)) (GroupObject, error) {
	for ctx.Err() == nil {
		g, version, err := readObject(ctx, store, group)
		if err != nil {
			return g, err
		}
		if g.Term > term {
			return g, eris.Wrapf(ErrSuperseded, "term %s", g.Term)
		}
		change(&g)
		value, err := json.Marshal(g)
		if err != nil {
			return g, eris.Wrapf(ErrStore, "%v", err)
		}
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err = store.PutConfirmed(call, ObjectKind, group, value, platform.IfVersion(version))
		cancel()
		if err == nil {
			return g, nil
		}
		if !eris.Is(err, platform.ErrConflict) {
			return g, eris.Wrapf(ErrStore, "%v", err)
		}
	}
	return GroupObject{}, eris.Wrapf(ErrStore, "%v", ctx.Err())
}
