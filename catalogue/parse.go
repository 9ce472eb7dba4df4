package catalogue

import (
	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/jsonc"
)

// Parse decodes a catalogue from JSON with comments and checks it. Unknown fields are problems. An error is of type Problems and
// lists all problems, each with line, cause and remedy. The file name is used in problems only.
func Parse(file string, data []byte) (*Catalogue, error) {
	c, _, err := Validate(file, data)
	return c, err
}

// Validate is like Parse but also returns the warnings about a valid catalogue.
func Validate(file string, data []byte) (*Catalogue, Problems, error) {
	c := &Catalogue{}
	pos, err := jsonc.Decode(file, data, c)
	var problems Problems
	errors.As(err, &problems)
	var checked Problems
	errors.As(Check(c), &checked)
	problems = append(problems, pos.Unreported(checked, problems)...)
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
