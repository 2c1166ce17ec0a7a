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

// ObjectKind is the kind of group objects in the store.
const ObjectKind = "group"

// ErrSuperseded reports that the store has recorded a higher term.
var ErrSuperseded = eris.New("holder: superseded by a higher term in the store")

// ErrStoreFailed reports that a call of the store failed or returned malformed data.
var ErrStoreFailed = eris.New("holder: store call failed")

// A GroupObject is the record of a group in the store.
type GroupObject struct {
	SchemaVersion int        `json:"schema_version"`
	Term          grant.Term `json:"term"`
	// Holder names the daemon that wrote the term.
	Holder string `json:"holder"`
	// Epoch is the version of Voters; 0 means that voters are not recorded yet.
	Epoch  uint64  `json:"epoch"`
	Voters []Voter `json:"voters,omitempty"`
	// Owners lists the owner of each shard as last recorded.
	Owners []string `json:"owners,omitempty"`
	// HotKeys lists the keys that have a shard of their own.
	HotKeys []HotKey `json:"hot,omitempty"`
	// IDTerm is the term under which the keepers recorded request ids.
	IDTerm  grant.Term `json:"noted_term,omitempty"`
	Keepers []Keeper   `json:"keepers,omitempty"`
	// UnknownFields holds fields of newer schema versions, which are written back.
	UnknownFields fields.Unknown `json:"-"`
}

// A Voter is a target that votes on terms.
type Voter struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
}

// A Keeper is a daemon that stores a copy of a group's request ids. Control is
// the address of its control interface.
type Keeper struct {
	Name    string         `json:"name"`
	Control netip.AddrPort `json:"control"`
}

// plainGroupObject is GroupObject without its JSON methods.
type plainGroupObject GroupObject

// UnmarshalJSON decodes an object and preserves unknown fields.
func (o *GroupObject) UnmarshalJSON(data []byte) (err error) {
	o.UnknownFields, err = fields.Decode(data, (*plainGroupObject)(o))
	return err
}

// MarshalJSON encodes an object with its unknown fields.
func (o GroupObject) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainGroupObject(o), o.UnknownFields)
}

// objectSchemaVersion is the schema version of GroupObject.
const objectSchemaVersion = 1

// storeTimeout bounds a call of the store for a group.
const storeTimeout = 500 * time.Millisecond

// readObject reads a group's object and its version. If the store has none, it
// returns an empty object and version 0.
func readObject(ctx context.Context, store *platform.Store, group string) (GroupObject, platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := store.Get(ctx, ObjectKind, group)
	if eris.Is(err, platform.ErrNotFound) {
		return GroupObject{SchemaVersion: objectSchemaVersion}, 0, nil
	}
	if err != nil {
		return GroupObject{}, 0, eris.Wrapf(ErrStoreFailed, "%v", err)
	}
	var g GroupObject
	if err := json.Unmarshal(obj.Value, &g); err != nil {
		return GroupObject{}, 0, eris.Wrapf(ErrStoreFailed, "group %s: %v", group, err)
	}
	return g, obj.Version, nil
}

// updateObject changes a group's object under a term. It reads the object, calls
// change, and writes it on condition that the version is the same. It retries on
// a conflict, and reads back to resolve a write without a response. It returns
// ErrSuperseded when the store has a higher term.
func updateObject(ctx context.Context, store *platform.Store, group string, term grant.Term, change func(*GroupObject)) (GroupObject, error) {
	for ctx.Err() == nil {
		g, version, err := readObject(ctx, store, group)
		if err != nil {
			return g, err
		}
		if g.Term > term {
			return g, eris.Wrapf(ErrSuperseded, "stored term %s", g.Term)
		}
		change(&g)
		value, err := json.Marshal(g)
		if err != nil {
			return g, eris.Wrapf(ErrStoreFailed, "%v", err)
		}
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err = store.PutConfirmed(call, ObjectKind, group, value, platform.IfVersion(version))
		cancel()
		if err == nil {
			return g, nil
		}
		if !eris.Is(err, platform.ErrConflict) {
			return g, eris.Wrapf(ErrStoreFailed, "%v", err)
		}
	}
	return GroupObject{}, eris.Wrapf(ErrStoreFailed, "%v", ctx.Err())
}
