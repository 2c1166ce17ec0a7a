// Package fields keeps the unknown fields of JSON objects through a read and a write.
//
// A program of an older version that rewrites an object must not lose fields
// that a newer version added. A type embeds Unknown and calls Decode and Encode
// from its UnmarshalJSON and MarshalJSON.
package fields

import (
	"encoding/json"
	"reflect"
	"sort"
	"strings"
)

// Unknown is the set of fields of one object that its type does not know.
type Unknown map[string]json.RawMessage

// Names returns the names of the unknown fields, sorted.
func (u Unknown) Names() []string {
	names := make([]string, 0, len(u))
	for n := range u {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Decode decodes data into v, a pointer to a struct, and returns the fields
// that v does not have.
func Decode(data []byte, v any) (Unknown, error) {
	if err := json.Unmarshal(data, v); err != nil {
		return nil, err
	}
	var all Unknown
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, err
	}
	for _, name := range names(reflect.TypeOf(v).Elem()) {
		delete(all, name)
	}
	if len(all) == 0 {
		return nil, nil
	}
	return all, nil
}

// Encode encodes v together with its unknown fields, with sorted names.
func Encode(v any, unknown Unknown) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil || len(unknown) == 0 {
		return data, err
	}
	var all Unknown
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, err
	}
	for n, raw := range unknown {
		if _, known := all[n]; !known {
			all[n] = raw
		}
	}
	return json.Marshal(all)
}

func names(t reflect.Type) []string {
	var out []string
	for f := range t.Fields() {
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag != "" && tag != "-" {
			out = append(out, tag)
		}
	}
	return out
}
