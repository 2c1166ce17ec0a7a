// Package record reads and writes the versioned records that operators keep in
// version control.
//
// A record has a kind, a name, a schema version and a spec. The kinds register
// themselves with a Registry; each converts specs of older schema versions to
// its newest one and back. Fields that a program does not know survive a read
// and a write.
//
// # Usage
//
//	reg, err := record.New(service.Kind(), policy.Kind())
//	docs, err := record.Split("records.yaml", data) // YAML, several documents
//	err = reg.Validate(docs[0])
package record

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/internal/fields"
)

// MaxSize is the greatest size of an encoded record in bytes.
const MaxSize = 512 * 1024

// MaxNameLength is the greatest length of a record's name in bytes.
const MaxNameLength = 63

// ErrMalformed reports that a document is not a record.
var ErrMalformed = eris.New("record: malformed")

// ErrKind reports that no such kind is registered.
var ErrKind = eris.New("record: unknown kind")

// ErrSchemaVersion reports that a kind has no such schema version.
var ErrSchemaVersion = eris.New("record: unknown schema version")

// ErrInvalid reports that a spec breaks a rule of its kind.
var ErrInvalid = eris.New("record: invalid")

// ErrRegistered reports that a kind is registered already.
var ErrRegistered = eris.New("record: kind is registered already")

var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// A Record is one versioned record.
type Record struct {
	Kind          string          `json:"kind"`
	Name          string          `json:"name"`
	SchemaVersion int             `json:"schema_version"`
	Spec          json.RawMessage `json:"spec"`
	// BasedOn is the store version that an operator's edit was based on; it is not stored.
	BasedOn uint64         `json:"based_on,omitempty"`
	Unknown fields.Unknown `json:"-"`
}

type plain Record

// UnmarshalJSON decodes a record and keeps unknown fields.
func (r *Record) UnmarshalJSON(data []byte) error {
	unknown, err := fields.Decode(data, (*plain)(r))
	if err != nil {
		return err
	}
	r.Unknown = unknown
	return nil
}

// MarshalJSON encodes a record with its unknown fields.
func (r Record) MarshalJSON() ([]byte, error) {
	return fields.Encode(plain(r), r.Unknown)
}

// Key returns the kind and name in the form "kind/name".
func (r Record) Key() string {
	return r.Kind + "/" + r.Name
}

// Decode decodes one record in JSON, or returns ErrMalformed.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxSize {
		return Record{}, eris.Wrapf(ErrMalformed, "%d bytes are more than %d", len(data), MaxSize)
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, eris.Wrapf(ErrMalformed, "%v", err)
	}
	if err := checkEnvelope(r); err != nil {
		return Record{}, err
	}
	return r, nil
}

func checkEnvelope(r Record) error {
	switch {
	case r.Kind == "":
		return eris.Wrap(ErrMalformed, "kind is required")
	case len(r.Name) > MaxNameLength || !validName.MatchString(r.Name):
		return eris.Wrapf(ErrMalformed, "name %q is not 1 to %d of a-z, 0-9 and inner hyphens", r.Name, MaxNameLength)
	case r.SchemaVersion <= 0:
		return eris.Wrap(ErrMalformed, "schema_version is required")
	case len(r.Spec) == 0 || r.Spec[0] != '{':
		return eris.Wrap(ErrMalformed, "spec is not a mapping")
	}
	return nil
}

// Split decodes a YAML file of one or more documents; file names it in errors.
func Split(file string, data []byte) ([]Record, error) {
	var out []Record
	line := 1
	for i, doc := range strings.Split("\n"+string(data), "\n---") {
		start := line
		line += strings.Count(doc, "\n")
		if strings.TrimSpace(stripComments(doc)) == "" {
			continue
		}
		r, err := decodeYAML([]byte(doc))
		if err != nil {
			return nil, eris.Wrapf(err, "%s: document %d from line %d", file, i+1, start)
		}
		out = append(out, r)
	}
	return out, nil
}

func stripComments(doc string) string {
	var kept []string
	for l := range strings.Lines(doc) {
		if !strings.HasPrefix(strings.TrimSpace(l), "#") {
			kept = append(kept, l)
		}
	}
	return strings.Join(kept, "")
}

func decodeYAML(doc []byte) (Record, error) {
	data, err := yaml.YAMLToJSON(doc)
	if err != nil {
		first, _, _ := strings.Cut(err.Error(), "\n")
		return Record{}, eris.Wrapf(ErrMalformed, "%s", first)
	}
	return Decode(data)
}

// Encode returns r as one YAML document with sorted fields.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	out, err := yaml.JSONToYAML(data)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	return out, nil
}

// Equal reports whether a and b hold the same data.
func Equal(a, b Record) bool {
	x, errA := json.Marshal(a)
	y, errB := json.Marshal(b)
	if errA != nil || errB != nil {
		return false
	}
	var u, v bytes.Buffer
	if json.Compact(&u, x) != nil || json.Compact(&v, y) != nil {
		return false
	}
	return canonical(u.Bytes()) == canonical(v.Bytes())
}

func canonical(data []byte) string {
	var v any
	if json.Unmarshal(data, &v) != nil {
		return string(data)
	}
	return fmt.Sprint(v)
}
