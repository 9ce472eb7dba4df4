package once

import (
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
)

var epoch = time.Unix(1_700_000_000, 0)

// keyAt returns a key with a version 7 UUID made at that time.
func keyAt(at time.Time, n byte) Key {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, n
	return Key{Organisation: "haulier-a", Route: "order", Value: id.String()}
}

func singleVoter(t *testing.T) (*Table, time.Time) {
	t.Helper()
	table := New(epoch, Voter{"a", "obb"}, DefaultLimits)
	table.SetVoters(epoch, []Voter{{"a", "obb"}})
	now := epoch.Add(MatureAfter)
	if !table.Mature(now) {
		t.Fatal("a single voter does not mature")
	}
	return table, now.Add(3 * MaxClockSkew)
}

func want(t *testing.T, v Verdict, kind VerdictKind, reason Reason) {
	t.Helper()
	if v.Kind != kind || (v.Refusal != nil && v.Refusal.Reason != reason) {
		t.Fatalf("got %d %+v, want %d %q", v.Kind, v.Refusal, kind, reason)
	}
}

func TestSingleVoter(t *testing.T) {
	table, now := singleVoter(t)
	k := keyAt(now, 1)
	want(t, table.Submit(now, k, 7, nil), Run, "")
	want(t, table.Submit(now, k, 7, nil), Join, "")
	want(t, table.Submit(now, k, 8, nil), Refuse, KeyReused)
	table.Finish(now, k, []byte("booked"))
	v := table.Submit(now, k, 7, nil)
	want(t, v, Replay, "")
	if string(v.Response) != "booked" {
		t.Fatalf("replayed %q", v.Response)
	}
	other := keyAt(now, 2)
	want(t, table.Submit(now, other, 7, nil), Run, "")
	table.Abort(now, other)
	want(t, table.Submit(now, other, 7, nil), Run, "")
	table.MarkLost(now, other)
	want(t, table.Submit(now, other, 7, nil), Refuse, ResponseLost)
}

func TestKeyTimes(t *testing.T) {
	table, now := singleVoter(t)
	want(t, table.Submit(now, keyAt(now.Add(2*MaxClockSkew), 1), 7, nil), Refuse, KeyAhead)
	want(t, table.Submit(now, keyAt(now.Add(-KeyTTL-time.Second), 2), 7, nil), Refuse, KeyTooOld)
	want(t, table.Submit(now, keyAt(epoch, 3), 7, nil), Refuse, Immature)
	want(t, table.Submit(now, Key{Value: "opaque"}, 7, nil), Refuse, Immature)
	for passed := time.Duration(0); passed <= KeyTTL+2*MaxClockSkew; passed += PauseGap {
		now = now.Add(PauseGap)
		table.SetVoters(now, []Voter{{"a", "obb"}})
	}
	want(t, table.Submit(now, Key{Value: "opaque"}, 7, nil), Run, "")
}

func TestMemoryIsBounded(t *testing.T) {
	table, now := singleVoter(t)
	table.limits = Limits{Keys: 2, ResponseBytes: 10}
	for n := range byte(2) {
		want(t, table.Submit(now, keyAt(now, n), 7, nil), Run, "")
		table.Finish(now, keyAt(now, n), make([]byte, 8))
	}
	want(t, table.Submit(now, keyAt(now, 0), 7, nil), Replay, "")
	want(t, table.Submit(now, keyAt(now, 1), 7, nil), Refuse, ResponseLost)
	want(t, table.Submit(now, keyAt(now, 2), 7, nil), Refuse, MemoryFull)
	for passed := time.Duration(0); passed <= KeyTTL+3*MaxClockSkew; passed += PauseGap {
		now = now.Add(PauseGap)
		table.SetVoters(now, []Voter{{"a", "obb"}})
	}
	want(t, table.Submit(now, keyAt(now, 2), 7, nil), Run, "")
	if table.bytes != 0 {
		t.Fatalf("%d bytes of expired responses", table.bytes)
	}
}

func TestUnlistedBindsNothing(t *testing.T) {
	table, now := singleVoter(t)
	table.SetVoters(now, []Voter{{"b", "obb"}})
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

// An executor that has not seen the service grow must not bind a key with a majority of the old voters, as the new voters
// form a majority of their own.
func TestMissingVotersAreReturned(t *testing.T) {
	old := []Voter{{"a", "obb"}, {"b", "obb"}, {"c", "obb"}}
	grown := append(append([]Voter(nil), old...), Voter{"d", "obb"}, Voter{"e", "obb"}, Voter{"f", "obb"}, Voter{"g", "obb"})
	now := epoch
	tables := map[string]*Table{}
	start := func(voters []Voter, list []Voter) {
		for _, s := range voters {
			tables[s.Instance] = New(now, s, DefaultLimits)
			tables[s.Instance].SetVoters(now, list)
		}
	}
	announce := func(absent string) {
		for _, s := range grown {
			from := tables[s.Instance]
			if from == nil {
				continue
			}
			for _, peer := range from.Peers() {
				if to := tables[peer]; to != nil && peer != absent {
					from.HandleAnnouncementReply(now, to.HandleAnnouncement(now, from.Announcement()))
				}
			}
		}
	}
	start(old, old)
	now = now.Add(MatureAfter)
	announce("")
	start(grown[3:], grown)
	now = now.Add(MatureAfter)
	announce("a")
	now = now.Add(3 * MaxClockSkew)
	k := keyAt(now, 1)
	v := tables["a"].Submit(now, k, 7, nil)
	if v.Kind != Poll || len(v.Peers) != 2 {
		t.Fatalf("a polls %v, want b and c", v.Peers)
	}
	vote := tables["b"].Vote(now, v.VoteRequest, nil)
	if vote.Kind != Missing {
		t.Fatalf("b voted %d for an executor that lacks voters", vote.Kind)
	}
	if v = tables["a"].HandleVote(now, k, vote, nil); v.Kind != Poll || len(v.Peers) != 6 {
		t.Fatalf("a polls %v after the vote with the missing voters, want all others", v.Peers)
	}
}

func TestOwnVoterTakesItsRegionFromTheList(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := New(now, Voter{Instance: "a"}, DefaultLimits)
	table.SetVoters(now, []Voter{{"a", "obb"}, {"b", "obb"}, {"c", "nbb"}})
	var names []string
	for _, s := range table.eligibleVoters(now, map[string]bool{"obb": true}) {
		names = append(names, s.Instance)
	}
	slices.Sort(names)
	if !slices.Equal(names, []string{"a", "b"}) {
		t.Fatalf("eligible voters of region obb are %v, want a and b", names)
	}
}
