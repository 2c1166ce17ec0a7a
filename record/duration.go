package record

import (
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time.Duration that is encoded as text such as "250ms".
type Duration struct {
	time.Duration
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText parses text such as "250ms". It returns ErrMalformed if text is
// not a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Wrapf(ErrMalformed, "%q is not a duration such as 250ms", text)
	}
	d.Duration = v
	return nil
}
