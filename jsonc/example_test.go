package jsonc_test

import (
	"fmt"

	"github.com/chervilwell/chervilwell/jsonc"
)

func ExampleDecode() {
	var limits struct {
		Slots int    `json:"slots"`
		Class string `json:"class"`
	}
	_, err := jsonc.Decode("limits.jsonc", []byte("{\n  \"slots\": \"many\", // a slip\n  \"clas\": \"critical\",\n}"), &limits)
	fmt.Println(err)
	// Output:
	// limits.jsonc:2: slots: "many" is not a whole number that fits; give a whole number that fits
	// limits.jsonc:3: clas: field "clas" is unknown; remove it or use one of: slots, class
}
