// Package examples embeds complete catalogues used by the demo, the experiments, the tests and the documentation.
package examples

import _ "embed"

// Streusalz is a catalogue in JSON with comments. It has two regions of two failure domains each, three services and three
// organisations.
//
//go:embed streusalz.jsonc
var Streusalz []byte

// Pikkulusikka is a catalogue in JSON with comments. The requests of one of its services are bound to one region.
//
//go:embed pikkulusikka.jsonc
var Pikkulusikka []byte
