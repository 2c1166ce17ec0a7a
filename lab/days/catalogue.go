package days

import (
	"io"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// ErrCatalogue reports a catalogue that cannot be read or has invalid entries.
var ErrCatalogue = eris.New("days: invalid catalogue")

// A Catalogue lists the kinds of faults and of planned work from which days are drawn.
type Catalogue struct {
	// Faults are the kinds of faults, and Planned those of planned work.
	Faults  []Kind `yaml:"faults"`
	Planned []Kind `yaml:"planned"`
}

// A Kind is one kind of fault or planned work.
type Kind struct {
	// Name is the bench's name of the kind.
	Name string `yaml:"kind"`
	// Variants are the values of the variant, one of which is drawn; "" is the plain form.
	Variants []string `yaml:"variants"`
	// Lasts reports whether the kind has a length.
	Lasts bool `yaml:"lasts"`
	// Fields are the other fields, in the order in which they are written.
	Fields []Field `yaml:"fields"`
}

// A Field is a field of a kind with the range from which its value is drawn.
type Field struct {
	Name string  `yaml:"name"`
	Min  float64 `yaml:"min"`
	Max  float64 `yaml:"max"`
	// Whole reports whether values are whole numbers.
	Whole bool `yaml:"whole"`
}

// Load reads a catalogue. It returns ErrCatalogue if the catalogue is malformed,
// lists no faults, or has an entry without a name or an empty range.
func Load(r io.Reader) (*Catalogue, error) {
	var c Catalogue
	if err := yaml.NewDecoder(r, yaml.Strict()).Decode(&c); err != nil {
		return nil, eris.Wrapf(ErrCatalogue, "%v", err)
	}
	if len(c.Faults) == 0 {
		return nil, eris.Wrap(ErrCatalogue, "no faults")
	}
	for _, k := range append(append([]Kind(nil), c.Faults...), c.Planned...) {
		if k.Name == "" {
			return nil, eris.Wrap(ErrCatalogue, "entry without kind")
		}
		for _, f := range k.Fields {
			if f.Name == "" || f.Max < f.Min {
				return nil, eris.Wrapf(ErrCatalogue, "kind %s: field %q has the range %v to %v", k.Name, f.Name, f.Min, f.Max)
			}
		}
	}
	return &c, nil
}
