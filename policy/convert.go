package policy

import (
	"encoding/json"
	"time"

	"github.com/redwingtally/redwingtally/internal/fields"
	"github.com/redwingtally/redwingtally/record"
)

// times1 is the part of a class of schema version 1 that differs: whole milliseconds.
type times1 struct {
	DeadlineMS int64 `json:"deadline_ms"`
	AgeingMS   int64 `json:"ageing_ms"`
}

// times2 is the same part in schema version 2: durations as text.
type times2 struct {
	Deadline record.Duration `json:"deadline"`
	Ageing   record.Duration `json:"ageing"`
}

// classes is the part of a spec that holds classes of any version.
type classes struct {
	Classes []json.RawMessage `json:"classes"`
}

func upgrade(spec json.RawMessage, _ int) (json.RawMessage, error) {
	return convertClasses(spec, func(old times1) times2 {
		return times2{
			Deadline: record.Duration{Duration: time.Duration(old.DeadlineMS) * time.Millisecond},
			Ageing:   record.Duration{Duration: time.Duration(old.AgeingMS) * time.Millisecond},
		}
	})
}

func downgrade(spec json.RawMessage, _ int) (json.RawMessage, error) {
	return convertClasses(spec, func(now times2) times1 {
		return times1{
			DeadlineMS: now.Deadline.Milliseconds(),
			AgeingMS:   now.Ageing.Milliseconds(),
		}
	})
}

func convertClasses[From, To any](spec json.RawMessage, convert func(From) To) (json.RawMessage, error) {
	var cs classes
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

type plainClass Class

// UnmarshalJSON decodes a class and keeps unknown fields.
func (c *Class) UnmarshalJSON(data []byte) (err error) {
	c.Unknown, err = fields.Decode(data, (*plainClass)(c))
	return err
}

// MarshalJSON encodes a class with its unknown fields.
func (c Class) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainClass(c), c.Unknown)
}

type plainRoute Route

// UnmarshalJSON decodes a route and keeps unknown fields.
func (r *Route) UnmarshalJSON(data []byte) (err error) {
	r.Unknown, err = fields.Decode(data, (*plainRoute)(r))
	return err
}

// MarshalJSON encodes a route with its unknown fields.
func (r Route) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainRoute(r), r.Unknown)
}

type plainRetry Retry

// UnmarshalJSON decodes retry bounds and keeps unknown fields.
func (r *Retry) UnmarshalJSON(data []byte) (err error) {
	r.Unknown, err = fields.Decode(data, (*plainRetry)(r))
	return err
}

// MarshalJSON encodes retry bounds with their unknown fields.
func (r Retry) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainRetry(r), r.Unknown)
}
