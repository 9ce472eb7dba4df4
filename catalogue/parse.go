package catalogue

import (
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/jsonc"
)

// Parse reads a catalogue from JSON with comments and checks it as a whole. Unknown fields are refused. The error is of type
// Problems and lists everything wrong, each with line, cause and remedy.
func Parse(file string, data []byte) (*Catalogue, error) {
	c, _, err := Validate(file, data)
	return c, err
}

// Validate does what Parse does, and returns the warnings about a good catalogue as well.
func Validate(file string, data []byte) (*Catalogue, Problems, error) {
	c := &Catalogue{}
	pos, err := jsonc.Decode(file, data, c)
	var problems Problems
	errors.As(err, &problems)
	var found Problems
	errors.As(Check(c), &found)
	problems = append(problems, pos.Unreported(found, problems)...)
	pos.Locate(problems)
	problems.Sort()
	if len(problems) > 0 {
		return nil, nil, problems
	}
	warnings := Warnings(c)
	pos.Locate(warnings)
	warnings.Sort()
	return c, warnings, nil
}
