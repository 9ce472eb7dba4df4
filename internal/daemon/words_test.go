package daemon

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/distribution"
)

func TestNewestOwnWordOfAnInstanceCounts(t *testing.T) {
	var told []string
	w := newWords(func(instance string, leaving bool) { told = append(told, fmt.Sprint(instance, " ", leaving)) })
	notice := func(kind, origin, subject string, sequence uint64) {
		w.take(time.Unix(0, 0), distribution.Notice{Kind: kind, Origin: origin, Subject: subject, Sequence: sequence})
	}
	notice(distribution.LeavingKind, "a", "a", 5)
	notice(servingKind, "a", "a", 9)              // the next life
	notice(distribution.LeavingKind, "a", "a", 6) // late, of the life before
	notice(distribution.LeavingKind, "b", "a", 99)
	notice(distribution.LeavingKind, "c", "c", 1)
	if want := []string{"a true", "a false", "c true"}; !slices.Equal(told, want) {
		t.Fatalf("told %v, want %v", told, want)
	}
}
