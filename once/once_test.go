package once

import (
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
)

var epoch = time.Unix(1_700_000_000, 0)

// keyAt returns a key with a UUID of version 7 made at that time.
func keyAt(at time.Time, n byte) Key {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, n
	return Key{Organisation: "haulier-a", Route: "order", Value: id.String()}
}

func single(t *testing.T) (*Table, time.Time) {
	t.Helper()
	table := New(epoch, Seat{"a", "obb"}, DefaultLimits)
	table.SetSeats(epoch, []Seat{{"a", "obb"}})
	now := epoch.Add(MatureAfter)
	if !table.Mature(now) {
		t.Fatal("a lone seat does not mature")
	}
	return table, now.Add(3 * MaxSkew)
}

func want(t *testing.T, v Verdict, kind VerdictKind, reason Reason) {
	t.Helper()
	if v.Kind != kind || (v.Refusal != nil && v.Refusal.Reason != reason) {
		t.Fatalf("got %d %+v, want %d %q", v.Kind, v.Refusal, kind, reason)
	}
}

func TestLoneSeat(t *testing.T) {
	table, now := single(t)
	k := keyAt(now, 1)
	want(t, table.Submit(now, k, 7, nil), Run, "")
	want(t, table.Submit(now, k, 7, nil), Join, "")
	want(t, table.Submit(now, k, 8, nil), Refuse, KeyReused)
	table.Finish(now, k, []byte("booked"))
	v := table.Submit(now, k, 7, nil)
	want(t, v, Replay, "")
	if string(v.Answer) != "booked" {
		t.Fatalf("replayed %q", v.Answer)
	}
	other := keyAt(now, 2)
	want(t, table.Submit(now, other, 7, nil), Run, "")
	table.Withdraw(now, other)
	want(t, table.Submit(now, other, 7, nil), Run, "")
	table.Lose(now, other)
	want(t, table.Submit(now, other, 7, nil), Refuse, AnswerLost)
}

func TestKeyTimes(t *testing.T) {
	table, now := single(t)
	want(t, table.Submit(now, keyAt(now.Add(2*MaxSkew), 1), 7, nil), Refuse, KeyAhead)
	want(t, table.Submit(now, keyAt(now.Add(-Window-time.Second), 2), 7, nil), Refuse, KeyTooOld)
	want(t, table.Submit(now, keyAt(epoch, 3), 7, nil), Refuse, Immature)
	want(t, table.Submit(now, Key{Value: "opaque"}, 7, nil), Refuse, Immature)
	for passed := time.Duration(0); passed <= Window+2*MaxSkew; passed += PauseGap {
		now = now.Add(PauseGap)
		table.SetSeats(now, []Seat{{"a", "obb"}})
	}
	want(t, table.Submit(now, Key{Value: "opaque"}, 7, nil), Run, "")
}

func TestMemoryIsBounded(t *testing.T) {
	table, now := single(t)
	table.limits = Limits{Keys: 2, AnswerBytes: 10}
	for n := range byte(2) {
		want(t, table.Submit(now, keyAt(now, n), 7, nil), Run, "")
		table.Finish(now, keyAt(now, n), make([]byte, 8))
	}
	want(t, table.Submit(now, keyAt(now, 0), 7, nil), Replay, "")
	want(t, table.Submit(now, keyAt(now, 1), 7, nil), Refuse, AnswerLost)
	want(t, table.Submit(now, keyAt(now, 2), 7, nil), Refuse, MemoryFull)
	for passed := time.Duration(0); passed <= Window+3*MaxSkew; passed += PauseGap {
		now = now.Add(PauseGap)
		table.SetSeats(now, []Seat{{"a", "obb"}})
	}
	want(t, table.Submit(now, keyAt(now, 2), 7, nil), Run, "")
	if table.bytes != 0 {
		t.Fatalf("%d bytes of forgotten answers", table.bytes)
	}
}

func TestUnlistedBindsNothing(t *testing.T) {
	table, now := single(t)
	table.SetSeats(now, []Seat{{"b", "obb"}})
	want(t, table.Submit(now, keyAt(now, 1), 7, nil), Refuse, Withdrawn)
}

func TestRankIsAPermutation(t *testing.T) {
	k := keyAt(epoch, 1)
	a, b := Rank(k, []string{"a", "b", "c", "d"}), Rank(k, []string{"d", "c", "b"})
	var rest []string
	for _, name := range a {
		if name != "a" {
			rest = append(rest, name)
		}
	}
	for i := range b {
		if rest[i] != b[i] {
			t.Fatalf("order %v changes to %v without a", a, b)
		}
	}
}

// An executor that missed how the service grew must not bind a key with the old majority, as the new seats have a majority
// of their own.
func TestMissingSeatsAreTold(t *testing.T) {
	old := []Seat{{"a", "obb"}, {"b", "obb"}, {"c", "obb"}}
	grown := append(append([]Seat(nil), old...), Seat{"d", "obb"}, Seat{"e", "obb"}, Seat{"f", "obb"}, Seat{"g", "obb"})
	now := epoch
	tables := map[string]*Table{}
	start := func(seats []Seat, list []Seat) {
		for _, s := range seats {
			tables[s.Instance] = New(now, s, DefaultLimits)
			tables[s.Instance].SetSeats(now, list)
		}
	}
	greet := func(absent string) {
		for _, s := range grown {
			from := tables[s.Instance]
			if from == nil {
				continue
			}
			for _, peer := range from.Peers() {
				if to := tables[peer]; to != nil && peer != absent {
					from.Welcomed(now, to.Greeted(now, from.Hello()))
				}
			}
		}
	}
	start(old, old)
	now = now.Add(MatureAfter)
	greet("")
	start(grown[3:], grown)
	now = now.Add(MatureAfter)
	greet("a")
	now = now.Add(3 * MaxSkew)
	k := keyAt(now, 1)
	v := tables["a"].Submit(now, k, 7, nil)
	if v.Kind != Poll || len(v.Peers) != 2 {
		t.Fatalf("a asks %v, want b and c", v.Peers)
	}
	vote := tables["b"].Vote(now, v.Ask, nil)
	if vote.Kind != Missing {
		t.Fatalf("b voted %d for an executor that lacks seats", vote.Kind)
	}
	if v = tables["a"].Count(now, k, vote, nil); v.Kind != Poll || len(v.Peers) != 6 {
		t.Fatalf("a asks %v after it was told, want all others", v.Peers)
	}
}

func TestOwnSeatTakesItsRegionFromTheList(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := New(now, Seat{Instance: "a"}, DefaultLimits)
	table.SetSeats(now, []Seat{{"a", "obb"}, {"b", "obb"}, {"c", "nbb"}})
	var names []string
	for _, s := range table.electorate(now, map[string]bool{"obb": true}) {
		names = append(names, s.Instance)
	}
	slices.Sort(names)
	if !slices.Equal(names, []string{"a", "b"}) {
		t.Fatalf("electorate of region obb is %v, want a and b", names)
	}
}
