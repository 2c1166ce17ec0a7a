package placement

import (
	"encoding/json"
	"sort"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/internal/fields"
	"github.com/redwingtally/redwingtally/record"
)

// ErrSpec reports that a placement's spec is malformed or breaks a rule.
var ErrSpec = eris.New("placement: invalid spec")

// MaxHotKeys is the greatest number of keys that are placed one by one.
const MaxHotKeys = 1024

// Version is the newest schema version.
const Version = 2

// A Spec says where the shards of a service go, at the newest schema version.
type Spec struct {
	// DataCentres lists data centres whose daemons are preferred as holders, best first.
	DataCentres []string `json:"data_centres,omitempty"`
	// Pins fix shards to targets.
	Pins []Pin `json:"pins,omitempty"`
	// HotKeys bounds the keys that are placed one by one; 0 places none.
	HotKeys int `json:"hot_keys,omitempty"`
	// Unknown holds fields of newer versions.
	Unknown fields.Unknown `json:"-"`
}

// A Pin fixes one shard to one target.
type Pin struct {
	Shard  int    `json:"shard"`
	Target string `json:"target"`
	// Unknown holds fields of newer versions.
	Unknown fields.Unknown `json:"-"`
}

// Decode decodes and checks a spec of the newest version, or returns ErrSpec.
func Decode(spec json.RawMessage) (Spec, error) {
	var s Spec
	if err := json.Unmarshal(spec, &s); err != nil {
		return Spec{}, eris.Wrapf(ErrSpec, "%v", err)
	}
	if s.HotKeys < 0 || s.HotKeys > MaxHotKeys {
		return Spec{}, eris.Wrapf(ErrSpec, "hot_keys: %d is outside 0 to %d", s.HotKeys, MaxHotKeys)
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
		Name:      "placement",
		Newest:    Version,
		Decode:    Decode,
		Unknown:   unknown,
		Upgrade:   upgrade,
		Downgrade: downgrade,
	}.Kind()
}

func unknown(s Spec) []string {
	names := s.Unknown.Names()
	for _, p := range s.Pins {
		names = append(names, p.Unknown.Names()...)
	}
	return names
}

// pins1 is the part of a spec of schema version 1 that differs: a mapping of
// shard numbers to targets.
type pins1 struct {
	Pins map[string]string `json:"pins,omitempty"`
	// PinsExtra carries unknown fields of pins of version 2 by shard.
	PinsExtra map[string]fields.Unknown `json:"pins_extra,omitempty"`
}

// pins2 is the same part in schema version 2.
type pins2 struct {
	Pins []Pin `json:"pins,omitempty"`
}

func upgrade(spec json.RawMessage, _ int) (json.RawMessage, error) {
	var old pins1
	rest, err := fields.Decode(spec, &old)
	if err != nil {
		return nil, err
	}
	var out pins2
	for shard, target := range old.Pins {
		n, err := strconv.Atoi(shard)
		if err != nil {
			return nil, eris.Wrapf(ErrSpec, "pins: %q is not a shard number", shard)
		}
		out.Pins = append(out.Pins, Pin{Shard: n, Target: target, Unknown: old.PinsExtra[shard]})
	}
	sort.Slice(out.Pins, func(i, j int) bool { return out.Pins[i].Shard < out.Pins[j].Shard })
	return fields.Encode(out, rest)
}

func downgrade(spec json.RawMessage, _ int) (json.RawMessage, error) {
	var now pins2
	rest, err := fields.Decode(spec, &now)
	if err != nil {
		return nil, err
	}
	out := pins1{Pins: map[string]string{}, PinsExtra: map[string]fields.Unknown{}}
	for _, p := range now.Pins {
		shard := strconv.Itoa(p.Shard)
		out.Pins[shard] = p.Target
		if len(p.Unknown) > 0 {
			out.PinsExtra[shard] = p.Unknown
		}
	}
	return fields.Encode(out, rest)
}

type plainSpec Spec

// UnmarshalJSON decodes a spec and keeps unknown fields.
func (s *Spec) UnmarshalJSON(data []byte) (err error) {
	s.Unknown, err = fields.Decode(data, (*plainSpec)(s))
	return err
}

// MarshalJSON encodes a spec with its unknown fields.
func (s Spec) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainSpec(s), s.Unknown)
}

type plainPin Pin

// UnmarshalJSON decodes a pin and keeps unknown fields.
func (p *Pin) UnmarshalJSON(data []byte) (err error) {
	p.Unknown, err = fields.Decode(data, (*plainPin)(p))
	return err
}

// MarshalJSON encodes a pin with its unknown fields.
func (p Pin) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainPin(p), p.Unknown)
}
