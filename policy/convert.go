package policy

import (
	"encoding/json"
	"time"

	"github.com/redwingtally/redwingtally/internal/fields"
	"github.com/redwingtally/redwingtally/record"
)

// classTimesV1 holds the fields of a class that are integers in milliseconds in
// schema version 1.
type classTimesV1 struct {
	DeadlineMS int64 `json:"deadline_ms"`
	AgeingMS   int64 `json:"ageing_ms"`
}

// classTimesV2 holds the same fields of schema version 2, where they are
// durations as text.
type classTimesV2 struct {
	Deadline record.Duration `json:"deadline"`
	Ageing   record.Duration `json:"ageing"`
}

// specClasses holds the encoded classes of a spec of either schema version.
type specClasses struct {
	Classes []json.RawMessage `json:"classes"`
}

// upgrade converts a spec from version 1 to version 2.
func upgrade(spec json.RawMessage, _ int) (json.RawMessage, error) {
	return convertClasses(spec, func(old classTimesV1) classTimesV2 {
		return classTimesV2{
			Deadline: record.Duration{Duration: time.Duration(old.DeadlineMS) * time.Millisecond},
			Ageing:   record.Duration{Duration: time.Duration(old.AgeingMS) * time.Millisecond},
		}
	})
}

// downgrade converts a spec from version 2 to version 1.
func downgrade(spec json.RawMessage, _ int) (json.RawMessage, error) {
	return convertClasses(spec, func(now classTimesV2) classTimesV1 {
		return classTimesV1{
			DeadlineMS: now.Deadline.Milliseconds(),
			AgeingMS:   now.Ageing.Milliseconds(),
		}
	})
}

// convertClasses converts each class of a spec and preserves all other fields.
func convertClasses[From, To any](spec json.RawMessage, convert func(From) To) (json.RawMessage, error) {
	var cs specClasses
	rest, err := fields.Decode(spec, &cs)
	if err != nil {
		return nil, err
	}
	for i, raw := range cs.Classes {
		var from From
		other, err := fields.Decode(raw, &from)
		if err != nil {
			return nil, err
		}
		cs.Classes[i], err = fields.Encode(convert(from), other)
		if err != nil {
			return nil, err
		}
	}
	return fields.Encode(cs, rest)
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

// plainClass is Class without its JSON methods.
type plainClass Class

// UnmarshalJSON decodes a class and preserves its unknown fields.
func (c *Class) UnmarshalJSON(data []byte) (err error) {
	c.UnknownFields, err = fields.Decode(data, (*plainClass)(c))
	return err
}

// MarshalJSON encodes a class with its unknown fields.
func (c Class) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainClass(c), c.UnknownFields)
}

// plainRoute is Route without its JSON methods.
type plainRoute Route

// UnmarshalJSON decodes a route and preserves its unknown fields.
func (r *Route) UnmarshalJSON(data []byte) (err error) {
	r.UnknownFields, err = fields.Decode(data, (*plainRoute)(r))
	return err
}

// MarshalJSON encodes a route with its unknown fields.
func (r Route) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainRoute(r), r.UnknownFields)
}

// plainRetry is Retry without its JSON methods.
type plainRetry Retry

// UnmarshalJSON decodes retry limits and preserves their unknown fields.
func (r *Retry) UnmarshalJSON(data []byte) (err error) {
	r.UnknownFields, err = fields.Decode(data, (*plainRetry)(r))
	return err
}

// MarshalJSON encodes retry limits with their unknown fields.
func (r Retry) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainRetry(r), r.UnknownFields)
}
