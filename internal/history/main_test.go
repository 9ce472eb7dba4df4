package history

import (
	"os"
	"testing"

	"github.com/chervilwell/chervilwell/document"
)

// TestMain uses the shared codec once, since it makes its channels at the first use and a bubble of virtual time must not
// own them.
func TestMain(m *testing.M) {
	packed, err := document.Pack("first use")
	if err != nil {
		panic(err)
	}
	var text string
	if err := document.Unpack(packed, &text); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
