package record

import (
	"encoding/json"
	"sort"

	"github.com/rotisserie/eris"
)

// A Kind describes one kind of record by functions over encoded specs.
type Kind struct {
	// Name is the kind's name, such as "service".
	Name string
	// Newest is the newest schema version; all from 1 to Newest are accepted.
	Newest int
	// Upgrade converts a spec from version to version+1.
	Upgrade func(spec json.RawMessage, version int) (json.RawMessage, error)
	// Downgrade converts a spec from version to version-1.
	Downgrade func(spec json.RawMessage, version int) (json.RawMessage, error)
	// Validate checks a spec of the newest version.
	Validate func(spec json.RawMessage) error
	// Unknown lists the fields of a spec of the newest version that the program does not know.
	Unknown func(spec json.RawMessage) []string
}

// A Schema describes a kind by its decoded spec.
type Schema[T any] struct {
	Name   string
	Newest int
	// Decode decodes and checks a spec of the newest version.
	Decode func(spec json.RawMessage) (T, error)
	// Unknown lists the unknown fields of a decoded spec.
	Unknown   func(T) []string
	Upgrade   func(spec json.RawMessage, version int) (json.RawMessage, error)
	Downgrade func(spec json.RawMessage, version int) (json.RawMessage, error)
}

// Kind returns the kind that s describes.
func (s Schema[T]) Kind() Kind {
	return Kind{
		Name:      s.Name,
		Newest:    s.Newest,
		Upgrade:   s.Upgrade,
		Downgrade: s.Downgrade,
		Validate: func(spec json.RawMessage) error {
			_, err := s.Decode(spec)
			return err
		},
		Unknown: func(spec json.RawMessage) []string {
			v, err := s.Decode(spec)
			if err != nil {
				return nil
			}
			return s.Unknown(v)
		},
	}
}

// A Registry is the set of known kinds.
type Registry struct {
	kinds map[string]Kind
}

// New returns a Registry of kinds, or ErrRegistered when one comes twice.
func New(kinds ...Kind) (*Registry, error) {
	reg := &Registry{kinds: map[string]Kind{}}
	for _, k := range kinds {
		if _, ok := reg.kinds[k.Name]; ok {
			return nil, eris.Wrap(ErrRegistered, k.Name)
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

// Convert returns r at the schema version want, with unknown fields kept.
// It returns ErrKind, ErrSchemaVersion or ErrInvalid.
func (reg *Registry) Convert(r Record, want int) (Record, error) {
	k, ok := reg.kinds[r.Kind]
	if !ok {
		return Record{}, eris.Wrap(ErrKind, r.Kind)
	}
	if r.SchemaVersion > k.Newest || want > k.Newest || want < 1 {
		return Record{}, eris.Wrapf(ErrSchemaVersion, "%s has schema versions 1 to %d", r.Kind, k.Newest)
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

// Newest returns r at the newest schema version of its kind.
func (reg *Registry) Newest(r Record) (Record, error) {
	k, ok := reg.kinds[r.Kind]
	if !ok {
		return Record{}, eris.Wrap(ErrKind, r.Kind)
	}
	return reg.Convert(r, k.Newest)
}

// Validate checks r against its kind. It returns ErrKind, ErrSchemaVersion or ErrInvalid.
func (reg *Registry) Validate(r Record) error {
	n, err := reg.Newest(r)
	if err != nil {
		return err
	}
	if err := reg.kinds[r.Kind].Validate(n.Spec); err != nil {
		return eris.Wrapf(ErrInvalid, "%s: %v", r.Key(), err)
	}
	return nil
}

// Warnings returns the unknown fields of r, which are kept but have no effect.
func (reg *Registry) Warnings(r Record) []string {
	n, err := reg.Newest(r)
	if err != nil {
		return nil
	}
	return append(n.Unknown.Names(), reg.kinds[r.Kind].Unknown(n.Spec)...)
}
