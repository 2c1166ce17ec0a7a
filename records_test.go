package redwingtally

import (
	"encoding/json"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/record"
)

// demoRecords returns all records of the demo.
func demoRecords(tb testing.TB) []record.Record {
	var out []record.Record
	for _, f := range []string{"demo/records/midlands.yaml", "demo/records/finistere.yaml"} {
		data, err := os.ReadFile(f)
		qt.Assert(tb, err, qt.IsNil)
		rs, err := record.DecodeYAML(f, data)
		qt.Assert(tb, err, qt.IsNil)
		out = append(out, rs...)
	}
	return out
}

func TestDemoRecordsAreValid(t *testing.T) {
	reg := NewRegistry()
	qt.Assert(t, reg.Kinds(), qt.DeepEquals, []string{"placement", "policy", "service"})
	for _, r := range demoRecords(t) {
		qt.Assert(t, reg.Validate(r), qt.IsNil)
		qt.Assert(t, reg.UnknownFields(r), qt.HasLen, 0)
	}
}

func TestSchemaVersionsConvertInBothDirections(t *testing.T) {
	reg := NewRegistry()
	for _, r := range demoRecords(t) {
		t.Run(r.Key(), func(t *testing.T) {
			newest, err := reg.ConvertToNewest(r)
			qt.Assert(t, err, qt.IsNil)
			old, err := reg.Convert(newest, 1)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, old.SchemaVersion, qt.Equals, 1)
			again, err := reg.ConvertToNewest(old)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, record.Equal(newest, again), qt.IsTrue)
		})
	}
}

// recordsWithUnknownFields contains records with unknown fields in every
// object, as a newer schema version would have them.
var recordsWithUnknownFields = []string{
	`{"kind":"service","name":"s","schema_version":2,"top":1,"spec":{"a":[1],"slots_per_target":2,"connections_per_target":9,"division":{"shards":8,"checks_grants":true,"b":2},"targets":[{"name":"t","address":"127.0.0.1:1","data_centre":"d","c":{"x":1}}]}}`,
	`{"kind":"policy","name":"s","schema_version":2,"top":1,"spec":{"a":1,"classes":[{"name":"c","rank":0,"queue_limit":1,"deadline":"1s","ageing":"1s","b":1}],"routes":[{"prefix":"/","class":"c","d":1}],"retry":{"ratio":0.1,"attempts":1,"e":1}}}`,
	`{"kind":"placement","name":"s","schema_version":2,"top":1,"spec":{"a":1,"pins":[{"shard":1,"target":"t","b":1}]}}`,
}

func TestUnknownFieldsArePreserved(t *testing.T) {
	reg := NewRegistry()
	for _, text := range recordsWithUnknownFields {
		r, err := record.Decode([]byte(text))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reg.Validate(r), qt.IsNil)
		qt.Assert(t, len(reg.UnknownFields(r)) >= 3, qt.IsTrue, qt.Commentf("%v", reg.UnknownFields(r)))
		old, err := reg.Convert(r, 1)
		qt.Assert(t, err, qt.IsNil)
		data, err := json.Marshal(old)
		qt.Assert(t, err, qt.IsNil)
		old, err = record.Decode(data)
		qt.Assert(t, err, qt.IsNil)
		again, err := reg.ConvertToNewest(old)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, record.Equal(r, again), qt.IsTrue, qt.Commentf("%s", data))
	}
}

func TestInvalidRecords(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{"no kind", `{"name":"s","schema_version":1,"spec":{}}`, ".*kind is required.*"},
		{"bad name", `{"kind":"service","name":"S!","schema_version":1,"spec":{}}`, ".*name.*"},
		{"no version", `{"kind":"service","name":"s","spec":{}}`, ".*schema_version is required.*"},
		{"spec is a list", `{"kind":"service","name":"s","schema_version":1,"spec":[]}`, ".*spec is not a mapping.*"},
		{"unknown kind", `{"kind":"x","name":"s","schema_version":1,"spec":{}}`, ".*unknown kind.*"},
		{"future version", `{"kind":"service","name":"s","schema_version":9,"spec":{}}`, ".*schema version.*"},
		{"no targets", `{"kind":"service","name":"s","schema_version":2,"spec":{}}`, ".*targets: 0 is outside.*"},
		{"bad address", `{"kind":"service","name":"s","schema_version":2,"spec":{"slots_per_target":1,"connections_per_target":1,"targets":[{"name":"t","address":"x","data_centre":"d"}]}}`, ".*ParseAddrPort.*|.*address.*|.*invalid.*"},
		{"route without class", `{"kind":"policy","name":"s","schema_version":2,"spec":{"classes":[{"name":"c","queue_limit":1,"deadline":"1s","ageing":"1s"}],"routes":[{"prefix":"/","class":"x"}],"retry":{"attempts":1}}}`, `.*"x" is not a class.*`},
		{"once only and repeatable", `{"kind":"policy","name":"s","schema_version":2,"spec":{"classes":[{"name":"c","queue_limit":1,"deadline":"1s","ageing":"1s"}],"routes":[{"prefix":"/","class":"c","once_only":true,"repeatable":true}],"retry":{"attempts":1}}}`, ".*exclude each other.*"},
		{"bad duration", `{"kind":"policy","name":"s","schema_version":2,"spec":{"classes":[{"name":"c","queue_limit":1,"deadline":"x","ageing":"1s"}],"routes":[],"retry":{}}}`, ".*not a duration.*"},
		{"pin twice", `{"kind":"placement","name":"s","schema_version":2,"spec":{"pins":[{"shard":1,"target":"a"},{"shard":1,"target":"b"}]}}`, ".*comes twice.*"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, err := record.Decode([]byte(test.text))
			if err == nil {
				err = NewRegistry().Validate(r)
			}
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}

func FuzzRecord(f *testing.F) {
	for _, text := range recordsWithUnknownFields {
		f.Add([]byte(text))
	}
	f.Add([]byte("kind: service\nname: s\nschema_version: 1\nspec: {divided_by_key: true}\n"))
	reg := NewRegistry()
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := record.DecodeYAML("f", data)
		if r, jsonErr := record.Decode(data); jsonErr == nil {
			records, err = append(records, r), nil
		}
		if err != nil {
			return
		}
		for _, r := range records {
			if reg.Validate(r) != nil {
				continue
			}
			n, err := reg.ConvertToNewest(r)
			if err != nil {
				t.Fatalf("valid record cannot be converted to the newest schema version: %v", err)
			}
			old, err := reg.Convert(n, 1)
			if err != nil {
				t.Fatalf("valid record cannot be converted to schema version 1: %v", err)
			}
			if err := reg.Validate(old); err != nil {
				t.Fatalf("record converted to schema version 1 is not valid: %v", err)
			}
		}
	})
}
