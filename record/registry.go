package record

import (
	"encoding/json"
	"sort"

	"github.com/rotisserie/eris"
)

// Kind describes one kind of record by functions that work on encoded specs.
type Kind struct {
	// Name is the kind's name, such as "service".
	Name string
	// NewestVersion is the newest schema version. Versions 1 to NewestVersion are accepted.
	NewestVersion int
	// Upgrade converts a spec from version to version+1.
	Upgrade func(spec json.RawMessage, version int) (json.RawMessage, error)
	// Downgrade converts a spec from version to version-1.
	Downgrade func(spec json.RawMessage, version int) (json.RawMessage, error)
	// Validate validates a spec of the newest version.
	Validate func(spec json.RawMessage) error
	// UnknownFields returns the names of the unknown fields of a spec of the newest version.
	UnknownFields func(spec json.RawMessage) []string
}

// Schema describes a kind whose specs decode to T. Its fields correspond to
// those of Kind.
type Schema[T any] struct {
	Name          string
	NewestVersion int
	// Decode decodes and validates a spec of the newest version.
	Decode func(spec json.RawMessage) (T, error)
	// UnknownFields returns the names of the unknown fields of a decoded spec.
	UnknownFields func(T) []string
	Upgrade       func(spec json.RawMessage, version int) (json.RawMessage, error)
	Downgrade     func(spec json.RawMessage, version int) (json.RawMessage, error)
}

// Kind returns the kind that s describes.
func (s Schema[T]) Kind() Kind {
	return Kind{
		Name:          s.Name,
		NewestVersion: s.NewestVersion,
		Upgrade:       s.Upgrade,
		Downgrade:     s.Downgrade,
		Validate: func(spec json.RawMessage) error {
			_, err := s.Decode(spec)
			return err
		},
		UnknownFields: func(spec json.RawMessage) []string {
			v, err := s.Decode(spec)
			if err != nil {
				return nil
			}
			return s.UnknownFields(v)
		},
	}
}

// Registry is a set of kinds.
type Registry struct {
	kinds map[string]Kind
}

// New returns a Registry of kinds. It returns ErrDuplicateKind if two of them have
// the same name.
func New(kinds ...Kind) (*Registry, error) {
	reg := &Registry{kinds: map[string]Kind{}}
	for _, k := range kinds {
		if _, ok := reg.kinds[k.Name]; ok {
			return nil, eris.Wrap(ErrDuplicateKind, k.Name)
		}
		reg.kinds[k.Name] = k
	}
	return reg, nil
}

// Kinds returns the names of the registered kinds, sorted.
func (reg *Registry) Kinds() []string {
	names := make([]string, 0, len(reg.kinds))
	for n := range reg.kinds {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Convert converts r to the schema version want. Unknown fields are preserved.
// It returns ErrUnknownKind, ErrUnknownSchemaVersion or ErrInvalid.
func (reg *Registry) Convert(r Record, want int) (Record, error) {
	k, ok := reg.kinds[r.Kind]
	if !ok {
		return Record{}, eris.Wrap(ErrUnknownKind, r.Kind)
	}
	if r.SchemaVersion > k.NewestVersion || want > k.NewestVersion || want < 1 {
		return Record{}, eris.Wrapf(ErrUnknownSchemaVersion, "%s has schema versions 1 to %d", r.Kind, k.NewestVersion)
	}
	for r.SchemaVersion != want {
		step, convert := 1, k.Upgrade
		if want < r.SchemaVersion {
			step, convert = -1, k.Downgrade
		}
		spec, err := convert(r.Spec, r.SchemaVersion)
		if err != nil {
			return Record{}, eris.Wrapf(ErrInvalid, "%s: %v", r.Key(), err)
		}
		r.Spec = spec
		r.SchemaVersion += step
	}
	return r, nil
}

// ConvertToNewest converts r to the newest schema version of its kind.
func (reg *Registry) ConvertToNewest(r Record) (Record, error) {
	k, ok := reg.kinds[r.Kind]
	if !ok {
		return Record{}, eris.Wrap(ErrUnknownKind, r.Kind)
	}
	return reg.Convert(r, k.NewestVersion)
}

// Validate validates r by the rules of its kind. It returns ErrUnknownKind,
// ErrUnknownSchemaVersion or ErrInvalid.
func (reg *Registry) Validate(r Record) error {
	n, err := reg.ConvertToNewest(r)
	if err != nil {
		return err
	}
	if err := reg.kinds[r.Kind].Validate(n.Spec); err != nil {
		return eris.Wrapf(ErrInvalid, "%s: %v", r.Key(), err)
	}
	return nil
}

// UnknownFields returns the names of the unknown fields of r. These are preserved but
// have no effect. It returns nil if r cannot be converted to the newest version.
func (reg *Registry) UnknownFields(r Record) []string {
	n, err := reg.ConvertToNewest(r)
	if err != nil {
		return nil
	}
	return append(n.UnknownFields.Names(), reg.kinds[r.Kind].UnknownFields(n.Spec)...)
}
