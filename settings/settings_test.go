package settings

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const good = `host: entry-1
data_centre: leicester
entry_address: 127.0.0.1:1
forward_address: 127.0.0.1:2
control_address: 127.0.0.1:3
platform_address: 127.0.0.1:4
`

func TestParse(t *testing.T) {
	s, err := Parse("d.yaml", []byte(good+"peers: [\"127.0.0.1:9\"]\nshutdown_timeout: 5s\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Host, qt.Equals, "entry-1")
	qt.Assert(t, s.Peers, qt.HasLen, 1)
	qt.Assert(t, s.LogLevel, qt.Equals, "info")
}

func TestParseNamesFileLineAndField(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{"unknown field", good + "colour: red\n", "d.yaml:7: colour: is not a known field"},
		{"bad address", strings.Replace(good, "127.0.0.1:3", "localhost:3", 1), `d.yaml:5: control_address: "localhost:3" is not an IP address and port`},
		{"port zero", strings.Replace(good, "127.0.0.1:3", "127.0.0.1:0", 1), `d.yaml:5: control_address: "127.0.0.1:0" is not an IP address and port`},
		{"missing data centre", strings.Replace(good, "data_centre: leicester\n", "", 1), "d.yaml:1: data_centre: is required"},
		{"short timeout", good + "shutdown_timeout: 10ms\n", "d.yaml:7: shutdown_timeout: 10ms is outside 1s to 1h0m0s"},
		{"no duration", good + "shutdown_timeout: soon\n", `d.yaml:7: shutdown_timeout: "soon" is not a duration such as 30s`},
		{"bad level", good + "log_level: loud\n", `d.yaml:7: log_level: "loud" is not debug, info, warn or error`},
		{"bad peer", good + "peers: [here]\n", `d.yaml:7: peers: "here" is not an IP address and port`},
		{"wrong type", good + "peers: {a: b}\n", "d.yaml:7"},
		{"not YAML", "host: [", "d.yaml:1: document"},
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
