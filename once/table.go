package once

import (
	"cmp"
	"slices"
	"time"
)

// Limits bound the memory of a Table.
type Limits struct {
	// Keys is the number of keys remembered.
	Keys int
	// AnswerBytes is the sum of the remembered answers in bytes; answers beyond it are not remembered.
	AnswerBytes int
}

// DefaultLimits suit a process of 64 MB.
var DefaultLimits = Limits{Keys: 20000, AnswerBytes: 8 << 20}

// phase is how far an executor has come with a key.
type phase uint8

const (
	// recorded keys are bound to some life; nothing runs here.
	recorded phase = iota
	// polling keys wait for votes.
	polling
	// won keys are bound to this life by a majority and have not run.
	won
	// running keys run now.
	running
	// done keys have run and their answer is remembered.
	done
	// lost keys have run, or may have, and there is no answer.
	lost
)

type record struct {
	fingerprint uint64
	holder      Life
	madeAt      time.Time
	phase       phase
	// votes are the seats that granted, while polling.
	votes map[string]bool
	// lost are the seats that voted for another life, and rival is one such life, while polling.
	lost   map[string]bool
	rival  Life
	seats  []Seat
	answer []byte
}

type seat struct {
	Seat
	// droppedAt is when the list dropped the seat; zero while it is listed.
	droppedAt time.Time
	// leftAt is when the seat left by its own word; zero if it has not.
	leftAt time.Time
}

// goneAt returns the time after which the seat binds nothing; zero if it may.
func (s *seat) goneAt() time.Time {
	switch {
	case !s.leftAt.IsZero():
		return s.leftAt
	case !s.droppedAt.IsZero():
		return s.droppedAt.Add(DropAfter)
	}
	return time.Time{}
}

// counts reports whether the seat may have bound a key made at that time.
func (s *seat) counts(made time.Time) bool {
	gone := s.goneAt()
	return gone.IsZero() || made.Add(-2*MaxSkew).Before(gone)
}

// Table is what one life knows of keys and seats. Create it with New.
type Table struct {
	self     Life
	limits   Limits
	seats    map[string]*seat
	records  map[Key]*record
	expiry   []expiring
	bytes    int
	last     time.Time
	born     time.Time
	matureAt time.Time
	// welcomes holds the seats that answered this life's Hello, and whether they were mature.
	welcomes  map[string]bool
	withdrawn bool
	// unlisted says that the list lacks this instance, or that no list has come yet.
	unlisted bool
}

type expiring struct {
	key Key
	at  time.Time
}

// New returns the table of a life that starts now.
func New(now time.Time, self Seat, limits Limits) *Table {
	t := &Table{
		self: Life{self.Instance, now.UnixNano()}, limits: limits,
		seats: map[string]*seat{}, records: map[Key]*record{}, unlisted: true,
	}
	t.seats[self.Instance] = &seat{Seat: self}
	t.ripen(now)
	return t
}

// ripen begins the time until the life is mature.
func (t *Table) ripen(now time.Time) {
	t.born, t.last = now, now
	t.matureAt = time.Time{}
	t.welcomes = map[string]bool{}
}

// advance moves the clock and notices a pause: what other seats learnt meanwhile must be heard before keys are bound again.
func (t *Table) advance(now time.Time) time.Time {
	if now.Before(t.last) {
		return t.last
	}
	if now.Sub(t.last) > PauseGap {
		t.ripen(now)
	}
	t.last = now
	t.forget(now)
	return now
}

// forget drops keys that are too old to be accepted, and seats that count as dead.
func (t *Table) forget(now time.Time) {
	for len(t.expiry) > 0 && now.After(t.expiry[0].at) {
		key := t.expiry[0].key
		t.expiry = t.expiry[1:]
		if r := t.records[key]; r != nil && r.phase != running {
			t.bytes -= len(r.answer)
			delete(t.records, key)
		}
	}
	for name, s := range t.seats {
		if gone := s.goneAt(); !gone.IsZero() && now.Sub(gone) > Window+2*MaxSkew {
			delete(t.seats, name)
		}
	}
}

// Self returns the life of the table.
func (t *Table) Self() Life { return t.self }

// SetSeats takes the service's instances from the list. A seat that is missing goes on counting for DropAfter. While this
// instance itself is missing it binds nothing.
func (t *Table) SetSeats(now time.Time, list []Seat) {
	now = t.advance(now)
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.Instance] = true
		t.learn(s)
		t.seats[s.Instance].droppedAt = time.Time{}
		if s.Instance == t.self.Instance {
			t.seats[s.Instance].Seat = s // a life learns its region with its first list
		}
	}
	for name, s := range t.seats {
		if !listed[name] && name != t.self.Instance && s.droppedAt.IsZero() {
			s.droppedAt = now
		}
	}
	if t.unlisted && listed[t.self.Instance] && t.matureAt.IsZero() {
		t.born = now
	}
	t.unlisted = !listed[t.self.Instance]
}

func (t *Table) learn(s Seat) {
	if t.seats[s.Instance] == nil {
		t.seats[s.Instance] = &seat{Seat: s}
	}
}

// Left takes another life's word that it binds nothing any more.
func (t *Table) Left(now time.Time, f Farewell) {
	t.advance(now)
	if s := t.seats[f.From.Instance]; s != nil && f.From.Instance != t.self.Instance {
		s.leftAt = time.Unix(0, f.At)
	}
}

// Leave makes this life bind and run nothing any more. Requests that run go on.
func (t *Table) Leave(now time.Time) Farewell {
	now = t.advance(now)
	t.withdrawn = true
	return Farewell{From: t.self, At: now.UnixNano()}
}

// Hello returns the message that makes this life known. Send it to Peers twice a second until the life is mature.
func (t *Table) Hello() Hello { return Hello{From: t.self, Seats: t.present()} }

// Peers returns the instances of the other seats that are present, in order.
func (t *Table) Peers() []string { return t.others(t.present()) }

func (t *Table) others(seats []Seat) []string {
	var out []string
	for _, s := range seats {
		if s.Instance != t.self.Instance {
			out = append(out, s.Instance)
		}
	}
	return out
}

// present returns the seats that have not gone, in order.
func (t *Table) present() []Seat { return t.electorate(t.last.Add(2*MaxSkew), nil) }

// electorate returns the seats in the given regions that may have bound a key made at that time, in order. Nil stands for all
// regions.
func (t *Table) electorate(made time.Time, regions map[string]bool) []Seat {
	out := make([]Seat, 0, len(t.seats))
	for _, s := range t.seats {
		if s.counts(made) && (regions == nil || regions[s.Region]) {
			out = append(out, s.Seat)
		}
	}
	slices.SortFunc(out, func(a, b Seat) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// Greeted takes the Hello of another life.
func (t *Table) Greeted(now time.Time, h Hello) Welcome {
	now = t.advance(now)
	t.learnAll(h.Seats)
	if s := t.seats[h.From.Instance]; s != nil {
		s.leftAt = time.Time{}
	}
	return Welcome{From: t.self, Seats: t.present(), Mature: t.Mature(now)}
}

// Welcomed takes the answer to a Hello.
func (t *Table) Welcomed(now time.Time, w Welcome) {
	now = t.advance(now)
	t.learnAll(w.Seats)
	t.welcomes[w.From.Instance] = w.Mature
	t.Mature(now)
}

func (t *Table) learnAll(seats []Seat) {
	for _, s := range seats {
		t.learn(s)
	}
}

// Mature reports whether this life binds keys. It does so once it has been listed for MatureAfter and a majority of the other
// seats knows it. Seats that answered that they are not mature themselves don't count: they have bound nothing.
func (t *Table) Mature(now time.Time) bool {
	if !t.matureAt.IsZero() {
		return true
	}
	now = t.advance(now)
	others, known := 0, 0
	for _, p := range t.Peers() {
		mature, answered := t.welcomes[p]
		if mature {
			known++
		}
		if mature || !answered {
			others++
		}
	}
	if t.unlisted || now.Sub(t.born) < MatureAfter || (others > 0 && known <= others/2) {
		return false
	}
	t.matureAt = now
	return true
}

// judge returns why a key can't be bound by this life, or "".
func (t *Table) judge(now time.Time, k Key) Reason {
	made := k.madeAt(now)
	switch {
	case made.After(now.Add(MaxSkew)):
		return KeyAhead
	case now.Sub(made) > Window:
		return KeyTooOld
	case t.withdrawn || t.unlisted:
		return Withdrawn
	case !t.Mature(now) || made.Add(-2*MaxSkew).Before(t.matureAt):
		return Immature
	}
	return ""
}

// bind returns the record of a key, bound to holder if it is new, or nil if the memory is full.
func (t *Table) bind(now time.Time, k Key, fingerprint uint64, holder Life) *record {
	if r := t.records[k]; r != nil {
		return r
	}
	if len(t.records) >= t.limits.Keys {
		return nil
	}
	r := &record{fingerprint: fingerprint, holder: holder, madeAt: k.madeAt(now)}
	t.records[k] = r
	t.expiry = append(t.expiry, expiring{k, now.Add(Window + 2*MaxSkew)})
	return r
}
