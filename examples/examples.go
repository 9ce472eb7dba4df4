// Package examples embeds complete catalogues that the demo, the experiments and the documentation use.
package examples

import _ "embed"

// Streusalz is a catalogue with two regions of two failure domains each, three services and three organisations.
//
//go:embed streusalz.jsonc
var Streusalz []byte

// Pikkulusikka is a catalogue with a service whose requests are bound to one region.
//
//go:embed pikkulusikka.jsonc
var Pikkulusikka []byte
