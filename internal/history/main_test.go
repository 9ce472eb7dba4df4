package history

import (
	"os"
	"testing"

	"github.com/chervilwell/chervilwell/document"
)

// TestMain uses the shared codec once before any test. The codec creates its channels on first use; if that happened in a
// synctest bubble, the channels would belong to that bubble and could not be used outside it.
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
