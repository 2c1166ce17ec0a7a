package placement

import (
	"encoding/json"
	"sort"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/internal/fields"
	"github.com/redwingtally/redwingtally/record"
)

// ErrSpec reports that a spec of a placement record is malformed or invalid.
var ErrSpec = eris.New("placement: invalid spec")

// MaxHotKeys is the maximum of Spec.HotKeyLimit.
const MaxHotKeys = 1024

// SchemaVersion is the newest schema version of the placement record.
const SchemaVersion = 2

// Spec configures the placement of one service's holder, shards and hot keys, at
// the newest schema version.
type Spec struct {
	// DataCentres lists the data centres whose daemons are preferred as holders,
	// in order of preference.
	DataCentres []string `json:"data_centres,omitempty"`
	// Pins fix shards to targets.
	Pins []Pin `json:"pins,omitempty"`
	// HotKeyLimit is the maximum number of keys that are placed individually.
	HotKeyLimit int `json:"hot_keys,omitempty"`
	// UnknownFields holds the fields that this program does not know.
	UnknownFields fields.Unknown `json:"-"`
}

// Pin fixes one shard to one target.
type Pin struct {
	Shard  int    `json:"shard"`
	Target string `json:"target"`
	// UnknownFields holds the fields that this program does not know.
	UnknownFields fields.Unknown `json:"-"`
}

// Decode decodes and validates a spec of the newest version. It returns ErrSpec
// if the spec is malformed or invalid.
func Decode(spec json.RawMessage) (Spec, error) {
	var s Spec
	if err := json.Unmarshal(spec, &s); err != nil {
		return Spec{}, eris.Wrapf(ErrSpec, "%v", err)
	}
	if s.HotKeyLimit < 0 || s.HotKeyLimit > MaxHotKeys {
		return Spec{}, eris.Wrapf(ErrSpec, "hot_keys: %d is outside 0 to %d", s.HotKeyLimit, MaxHotKeys)
	}
	seen := map[int]bool{}
	for i, p := range s.Pins {
		if p.Shard < 0 || p.Target == "" {
			return Spec{}, eris.Wrapf(ErrSpec, "pins[%d]: shard and target are required", i)
		}
		if seen[p.Shard] {
			return Spec{}, eris.Wrapf(ErrSpec, "pins[%d]: shard %d comes twice", i, p.Shard)
		}
		seen[p.Shard] = true
	}
	return s, nil
}

// Kind returns the record kind "placement".
func Kind() record.Kind {
	return record.Schema[Spec]{
		Name:          "placement",
		NewestVersion: SchemaVersion,
		Decode:        Decode,
		UnknownFields: unknownFields,
		Upgrade:       upgrade,
		Downgrade:     downgrade,
	}.Kind()
}

// unknownFields returns the names of the unknown fields of s.
func unknownFields(s Spec) []string {
	names := s.UnknownFields.Names()
	for _, p := range s.Pins {
		names = append(names, p.UnknownFields.Names()...)
	}
	return names
}

// pinFieldsV1 holds the pins of schema version 1, a mapping from shard numbers to
// targets.
type pinFieldsV1 struct {
	Pins map[string]string `json:"pins,omitempty"`
	// PinsExtra preserves the unknown fields of each pin, by shard number, when a
	// spec is downgraded from version 2.
	PinsExtra map[string]fields.Unknown `json:"pins_extra,omitempty"`
}

// pinFieldsV2 holds the pins of schema version 2.
type pinFieldsV2 struct {
	Pins []Pin `json:"pins,omitempty"`
}

// upgrade converts a spec from version 1 to version 2.
func upgrade(spec json.RawMessage, _ int) (json.RawMessage, error) {
	var old pinFieldsV1
	rest, err := fields.Decode(spec, &old)
	if err != nil {
		return nil, err
	}
	var out pinFieldsV2
	for shard, target := range old.Pins {
		n, err := strconv.Atoi(shard)
		if err != nil {
			return nil, eris.Wrapf(ErrSpec, "pins: %q is not a shard number", shard)
		}
		out.Pins = append(out.Pins, Pin{Shard: n, Target: target, UnknownFields: old.PinsExtra[shard]})
	}
	sort.Slice(out.Pins, func(i, j int) bool { return out.Pins[i].Shard < out.Pins[j].Shard })
	return fields.Encode(out, rest)
}

// downgrade converts a spec from version 2 to version 1.
func downgrade(spec json.RawMessage, _ int) (json.RawMessage, error) {
	var now pinFieldsV2
	rest, err := fields.Decode(spec, &now)
	if err != nil {
		return nil, err
	}
	out := pinFieldsV1{Pins: map[string]string{}, PinsExtra: map[string]fields.Unknown{}}
	for _, p := range now.Pins {
		shard := strconv.Itoa(p.Shard)
		out.Pins[shard] = p.Target
		if len(p.UnknownFields) > 0 {
			out.PinsExtra[shard] = p.UnknownFields
		}
	}
	return fields.Encode(out, rest)
}

// plainSpec is Spec without its JSON methods.
type plainSpec Spec

// UnmarshalJSON decodes a spec and preserves its unknown fields.
func (s *Spec) UnmarshalJSON(data []byte) (err error) {
	s.UnknownFields, err = fields.Decode(data, (*plainSpec)(s))
	return err
}

// MarshalJSON encodes a spec with its unknown fields.
func (s Spec) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainSpec(s), s.UnknownFields)
}

// plainPin is Pin without its JSON methods.
type plainPin Pin

// UnmarshalJSON decodes a pin and preserves its unknown fields.
func (p *Pin) UnmarshalJSON(data []byte) (err error) {
	p.UnknownFields, err = fields.Decode(data, (*plainPin)(p))
	return err
}

// MarshalJSON encodes a pin with its unknown fields.
func (p Pin) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainPin(p), p.UnknownFields)
}
