// Package record reads and writes the versioned records that operators keep in
// version control.
//
// A record has a kind, a name, a schema version and a spec. A Registry holds the
// kinds. Each kind converts specs between its schema versions, one version at a
// time. Unknown fields are preserved, so a program of an older version does not
// drop fields that a newer version has added.
//
// # Usage
//
//	reg, err := record.New(service.Kind(), policy.Kind())
//	docs, err := record.DecodeYAML("records.yaml", data) // YAML, several documents
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

// MaxRecordSize is the maximum size of an encoded record in bytes.
const MaxRecordSize = 512 * 1024

// MaxNameLength is the maximum length of a record's name in bytes.
const MaxNameLength = 63

// ErrMalformed reports that a document cannot be decoded or lacks a required field of a record.
var ErrMalformed = eris.New("record: malformed")

// ErrUnknownKind reports that a record's kind is not registered.
var ErrUnknownKind = eris.New("record: unknown kind")

// ErrUnknownSchemaVersion reports that a kind does not support a schema version.
var ErrUnknownSchemaVersion = eris.New("record: unknown schema version")

// ErrInvalid reports that a spec fails the validation of its kind.
var ErrInvalid = eris.New("record: invalid")

// ErrDuplicateKind reports that two kinds have the same name.
var ErrDuplicateKind = eris.New("record: duplicate kind")

var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Record is a named spec of one kind, encoded at one schema version.
type Record struct {
	Kind          string          `json:"kind"`
	Name          string          `json:"name"`
	SchemaVersion int             `json:"schema_version"`
	Spec          json.RawMessage `json:"spec"`
	// BasedOn is the store version that an operator's edit is based on. It is not stored.
	BasedOn uint64 `json:"based_on,omitempty"`
	// UnknownFields holds the fields that this program does not know.
	UnknownFields fields.Unknown `json:"-"`
}

// plainRecord is Record without its JSON methods.
type plainRecord Record

// UnmarshalJSON decodes a record and preserves its unknown fields.
func (r *Record) UnmarshalJSON(data []byte) error {
	unknown, err := fields.Decode(data, (*plainRecord)(r))
	if err != nil {
		return err
	}
	r.UnknownFields = unknown
	return nil
}

// MarshalJSON encodes a record with its unknown fields.
func (r Record) MarshalJSON() ([]byte, error) {
	return fields.Encode(plainRecord(r), r.UnknownFields)
}

// Key returns the kind and name in the form "kind/name".
func (r Record) Key() string {
	return r.Kind + "/" + r.Name
}

// Decode decodes one record from JSON. It returns ErrMalformed if data is larger
// than MaxRecordSize or is not a record.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxRecordSize {
		return Record{}, eris.Wrapf(ErrMalformed, "record of %d bytes exceeds the limit of %d bytes", len(data), MaxRecordSize)
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

// checkEnvelope validates the fields that all kinds have in common.
func checkEnvelope(r Record) error {
	switch {
	case r.Kind == "":
		return eris.Wrap(ErrMalformed, "kind is required")
	case len(r.Name) > MaxNameLength || !validName.MatchString(r.Name):
		return eris.Wrapf(ErrMalformed, "name %q is not 1 to %d characters of a-z, 0-9 and inner hyphens", r.Name, MaxNameLength)
	case r.SchemaVersion <= 0:
		return eris.Wrap(ErrMalformed, "schema_version is required")
	case len(r.Spec) == 0 || r.Spec[0] != '{':
		return eris.Wrap(ErrMalformed, "spec is not a mapping")
	}
	return nil
}

// DecodeYAML decodes the records of a YAML file with one or more documents. Errors
// name the file, the document and its first line. Empty documents are skipped.
func DecodeYAML(file string, data []byte) ([]Record, error) {
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

// stripComments removes the lines that hold only a comment.
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
		// The lines after the first quote the source.
		first, _, _ := strings.Cut(err.Error(), "\n")
		return Record{}, eris.Wrapf(ErrMalformed, "%s", first)
	}
	return Decode(data)
}

// Encode encodes r as one YAML document.
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

// Equal reports whether a and b have the same fields and values, whatever the
// order of fields and the white space of their specs.
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

// canonical returns a text that does not depend on the order of JSON fields.
func canonical(data []byte) string {
	var v any
	if json.Unmarshal(data, &v) != nil {
		return string(data)
	}
	return fmt.Sprint(v)
}
