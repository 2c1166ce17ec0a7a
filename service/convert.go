package service

import (
	"encoding/json"

	"github.com/redwingtally/redwingtally/internal/fields"
)

// version1 is a spec of schema version 1, which kept the division in flat fields.
type version1 struct {
	DividedByKey bool `json:"divided_by_key,omitempty"`
	ChecksGrants bool `json:"checks_grants,omitempty"`
	Shards       int  `json:"shards,omitempty"`
	// DivisionExtra carries unknown fields of a division of version 2.
	DivisionExtra fields.Unknown `json:"division_extra,omitempty"`
}

// division2 is the part of a spec of schema version 2 that differs from version 1.
type division2 struct {
	Division *Division `json:"division,omitempty"`
}

func upgrade(spec json.RawMessage, _ int) (json.RawMessage, error) {
	var old version1
	rest, err := fields.Decode(spec, &old)
	if err != nil {
		return nil, err
	}
	var out division2
	if old.DividedByKey {
		out.Division = &Division{Shards: old.Shards, ChecksGrants: old.ChecksGrants, Unknown: old.DivisionExtra}
	}
	return fields.Encode(out, rest)
}

func downgrade(spec json.RawMessage, _ int) (json.RawMessage, error) {
	var now division2
	rest, err := fields.Decode(spec, &now)
	if err != nil {
		return nil, err
	}
	var out version1
	if d := now.Division; d != nil {
		out = version1{DividedByKey: true, ChecksGrants: d.ChecksGrants, Shards: d.Shards, DivisionExtra: d.Unknown}
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

type plainDivision Division

// UnmarshalJSON decodes a division and keeps unknown fields.
func (d *Division) UnmarshalJSON(data []byte) (err error) {
	d.Unknown, err = fields.Decode(data, (*plainDivision)(d))
	return err
}

// MarshalJSON encodes a division with its unknown fields.
func (d Division) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainDivision(d), d.Unknown)
}

type plainTarget Target

// UnmarshalJSON decodes a target and keeps unknown fields.
func (t *Target) UnmarshalJSON(data []byte) (err error) {
	t.Unknown, err = fields.Decode(data, (*plainTarget)(t))
	return err
}

// MarshalJSON encodes a target with its unknown fields.
func (t Target) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainTarget(t), t.Unknown)
}
