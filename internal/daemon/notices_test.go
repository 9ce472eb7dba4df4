package daemon

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chervilwell/chervilwell/distribution"
)

func TestNoticeFilterAppliesNewestNoticeOfSubject(t *testing.T) {
	var applied []string
	f := newNoticeFilter(func(instance string, leaving bool) { applied = append(applied, fmt.Sprint(instance, " ", leaving)) })
	notice := func(kind, origin, subject string, sequence uint64) {
		f.apply(time.Unix(0, 0), distribution.Notice{Kind: kind, Origin: origin, Subject: subject, Sequence: sequence})
	}
	notice(distribution.LeavingKind, "a", "a", 5)
	notice(servingKind, "a", "a", 9)              // next incarnation
	notice(distribution.LeavingKind, "a", "a", 6) // delayed notice of the previous incarnation
	notice(distribution.LeavingKind, "b", "a", 99)
	notice(distribution.LeavingKind, "c", "c", 1)
	if want := []string{"a true", "a false", "c true"}; !slices.Equal(applied, want) {
		t.Fatalf("applied %v, want %v", applied, want)
	}
}
