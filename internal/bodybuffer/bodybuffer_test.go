package bodybuffer

import (
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

func TestTotalSizeIsLimited(t *testing.T) {
	b := New(10)
	first, release, err := b.Read(strings.NewReader("sixsix"), 6)
	if err != nil || string(first) != "sixsix" {
		t.Fatalf("%q, %v", first, err)
	}
	rest := strings.NewReader("fives")
	if _, _, err := b.Read(rest, 5); !errors.Is(err, ErrFull) || rest.Len() != 5 {
		t.Errorf("got %v, %d bytes are left", err, rest.Len())
	}
	release()
	if _, _, err := b.Read(strings.NewReader("short"), 10); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v", err)
	}
	if _, _, err := b.Read(strings.NewReader("ten bytes."), 10); err != nil {
		t.Errorf("no room after the other bodies are gone: %v", err)
	}
}
