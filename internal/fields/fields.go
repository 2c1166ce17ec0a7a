// Package fields preserves the unknown fields of JSON objects that are decoded and
// encoded again.
//
// An older version of a program that rewrites an object must not lose fields that
// a newer version added. A type keeps the unknown fields in a field of type Unknown
// and calls Decode and Encode from its UnmarshalJSON and MarshalJSON methods.
package fields

import (
	"encoding/json"
	"reflect"
	"sort"
	"strings"
)

// Unknown holds the fields of a JSON object that its Go type does not declare, by name.
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

// Decode decodes data into v, a pointer to a struct, and returns the fields that
// v does not declare. It returns nil if there are none.
func Decode(data []byte, v any) (Unknown, error) {
	if err := json.Unmarshal(data, v); err != nil {
		return nil, err
	}
	var all Unknown
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, err
	}
	for _, name := range jsonNames(reflect.TypeOf(v).Elem()) {
		delete(all, name)
	}
	if len(all) == 0 {
		return nil, nil
	}
	return all, nil
}

// Encode encodes v together with its unknown fields. The fields that v declares
// take precedence. If there are unknown fields, all names are sorted.
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

// jsonNames returns the names in the json tags of a struct type.
func jsonNames(t reflect.Type) []string {
	var out []string
	for f := range t.Fields() {
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag != "" && tag != "-" {
			out = append(out, tag)
		}
	}
	return out
}
