package settings

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const validFile = `host: entry-1
data_centre: leicester
entry_address: 127.0.0.1:1
forward_address: 127.0.0.1:2
control_address: 127.0.0.1:3
platform_address: 127.0.0.1:4
`

func TestParse(t *testing.T) {
	s, err := Parse("d.yaml", []byte(validFile+"peers: [\"127.0.0.1:9\"]\nshutdown_timeout: 5s\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Host, qt.Equals, "entry-1")
	qt.Assert(t, s.Peers, qt.HasLen, 1)
	qt.Assert(t, s.LogLevel, qt.Equals, "info")
}

func TestParseErrorsNameFileLineAndField(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{"unknown field", validFile + "colour: red\n", "d.yaml:7: colour: is not a known field"},
		{"invalid address", strings.Replace(validFile, "127.0.0.1:3", "localhost:3", 1), `d.yaml:5: control_address: "localhost:3" is not an IP address and port`},
		{"port zero", strings.Replace(validFile, "127.0.0.1:3", "127.0.0.1:0", 1), `d.yaml:5: control_address: "127.0.0.1:0" is not an IP address and port`},
		{"missing data centre", strings.Replace(validFile, "data_centre: leicester\n", "", 1), "d.yaml:1: data_centre: is required"},
		{"timeout below the minimum", validFile + "shutdown_timeout: 10ms\n", "d.yaml:7: shutdown_timeout: 10ms is outside 1s to 1h0m0s"},
		{"invalid duration", validFile + "shutdown_timeout: soon\n", `d.yaml:7: shutdown_timeout: "soon" is not a duration such as 30s`},
		{"unknown log level", validFile + "log_level: loud\n", `d.yaml:7: log_level: "loud" is not debug, info, warn or error`},
		{"invalid peer address", validFile + "peers: [here]\n", `d.yaml:7: peers: "here" is not an IP address and port`},
		{"wrong type", validFile + "peers: {a: b}\n", "d.yaml:7"},
		{"invalid YAML", "host: [", "d.yaml:1: document"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("d.yaml", []byte(test.text))
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, err.Error(), qt.Contains, test.want)
			qt.Assert(t, strings.Count(err.Error(), "\n"), qt.Equals, 0)
		})
	}
}

func TestLoadMissingFile(t *testing.T) {
	_, err := Load("nowhere.yaml")
	qt.Assert(t, err, qt.ErrorMatches, ".*file cannot be read")
}
