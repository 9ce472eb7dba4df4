package catalogue

import (
	"fmt"
	"strconv"
)

// MaxNameBytes is the longest name of an item.
const MaxNameBytes = 63

// NameRemedy tells how to write a name.
var NameRemedy = "write 1 to " + strconv.Itoa(MaxNameBytes) + " letters, digits, dots, hyphens or underscores, the first a letter or digit"

// NameProblem returns what is wrong with a name, or "" if it is good. Names of all items, and of instances, follow one rule.
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
			return fmt.Sprintf("name %q has the character %q", name, c)
		}
	}
	return ""
}

func isAlphanumeric(c rune) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}
