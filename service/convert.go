package service

import (
	"encoding/json"

	"github.com/redwingtally/redwingtally/internal/fields"
)

// divisionFieldsV1 holds the fields of schema version 1 that version 2 replaces
// by Division.
type divisionFieldsV1 struct {
	DividedByKey bool `json:"divided_by_key,omitempty"`
	ChecksGrants bool `json:"checks_grants,omitempty"`
	Shards       int  `json:"shards,omitempty"`
	// DivisionExtra preserves the unknown fields of a Division when a spec is
	// downgraded from version 2.
	DivisionExtra fields.Unknown `json:"division_extra,omitempty"`
}

// divisionFieldsV2 holds the field of schema version 2 that replaces those of
// divisionFieldsV1.
type divisionFieldsV2 struct {
	Division *Division `json:"division,omitempty"`
}

// upgrade converts a spec from version 1 to version 2.
func upgrade(spec json.RawMessage, _ int) (json.RawMessage, error) {
	var old divisionFieldsV1
	rest, err := fields.Decode(spec, &old)
	if err != nil {
		return nil, err
	}
	var out divisionFieldsV2
	if old.DividedByKey {
		out.Division = &Division{Shards: old.Shards, ChecksGrants: old.ChecksGrants, UnknownFields: old.DivisionExtra}
	}
	return fields.Encode(out, rest)
}

// downgrade converts a spec from version 2 to version 1.
func downgrade(spec json.RawMessage, _ int) (json.RawMessage, error) {
	var now divisionFieldsV2
	rest, err := fields.Decode(spec, &now)
	if err != nil {
		return nil, err
	}
	var out divisionFieldsV1
	if d := now.Division; d != nil {
		out = divisionFieldsV1{DividedByKey: true, ChecksGrants: d.ChecksGrants, Shards: d.Shards, DivisionExtra: d.UnknownFields}
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

// plainDivision is Division without its JSON methods.
type plainDivision Division

// UnmarshalJSON decodes a division and preserves its unknown fields.
func (d *Division) UnmarshalJSON(data []byte) (err error) {
	d.UnknownFields, err = fields.Decode(data, (*plainDivision)(d))
	return err
}

// MarshalJSON encodes a division with its unknown fields.
func (d Division) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainDivision(d), d.UnknownFields)
}

// plainTarget is Target without its JSON methods.
type plainTarget Target

// UnmarshalJSON decodes a target and preserves its unknown fields.
func (t *Target) UnmarshalJSON(data []byte) (err error) {
	t.UnknownFields, err = fields.Decode(data, (*plainTarget)(t))
	return err
}

// MarshalJSON encodes a target with its unknown fields.
func (t Target) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainTarget(t), t.UnknownFields)
}
