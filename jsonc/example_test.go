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
	_, err := jsonc.Decode("limits.jsonc", []byte("{\n  \"slots\": \"many\", // wrong type\n  \"clas\": \"critical\",\n}"), &limits)
	fmt.Println(err)
	// Output:
	// limits.jsonc:2: slots: "many" is not an integer in range; give an integer in range
	// limits.jsonc:3: clas: field "clas" is unknown; remove it or use one of: slots, class
}
