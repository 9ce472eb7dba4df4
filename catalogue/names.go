package catalogue

import (
	"fmt"
	"strconv"
)

// MaxNameBytes is the maximum length of the name of an item in bytes.
const MaxNameBytes = 63

// NameRemedy is the remedy for an invalid name.
var NameRemedy = "use 1 to " + strconv.Itoa(MaxNameBytes) + " letters, digits, dots, hyphens or underscores, beginning with a letter or digit"

// NameProblem returns the cause why a name is invalid, or "" if it is valid. The same rule applies to the names of instances and
// of all items in a catalogue.
func NameProblem(name string) string {
	switch {
	case name == "":
		return "name is missing"
	case len(name) > MaxNameBytes:
		return fmt.Sprintf("name has %d bytes", len(name))
	}
	for i, c := range name {
		switch {
		case isAlphanumeric(c), i > 0 && (c == '.' || c == '-' || c == '_'):
		case i == 0:
			return fmt.Sprintf("name %q begins with %q", name, c)
		default:
			return fmt.Sprintf("name %q contains the character %q", name, c)
		}
	}
	return ""
}

func isAlphanumeric(c rune) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}
