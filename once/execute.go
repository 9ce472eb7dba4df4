package once

import (
	"slices"
	"time"
)

// Submit asks to run a keyed request at this instance. The fingerprint tells requests apart; regions are those that the
// route allows, nil for any.
func (t *Table) Submit(now time.Time, k Key, fingerprint uint64, regions map[string]bool) Verdict {
	now = t.advance(now)
	if r := t.records[k]; r != nil {
		return t.again(now, k, r, fingerprint, regions)
	}
	if reason := t.judge(now, k); reason != "" {
		// A key this far ahead of the clock is ahead of all clocks: no seat has bound it.
		ahead := k.madeAt(now).After(now.Add(2 * MaxSkew))
		return refuse(reason, ahead, Life{})
	}
	r := t.bind(now, k, fingerprint, t.self)
	if r == nil {
		return refuse(MemoryFull, false, Life{})
	}
	return t.poll(k, r, regions)
}

// again decides on a key that is known here.
func (t *Table) again(now time.Time, k Key, r *record, fingerprint uint64, regions map[string]bool) Verdict {
	switch {
	case r.fingerprint != fingerprint:
		return refuse(KeyReused, false, Life{})
	case r.holder != t.self:
		return refuse(HeldElsewhere, false, r.holder)
	}
	switch r.phase {
	case polling, running:
		return Verdict{Kind: Join}
	case done:
		return Verdict{Kind: Replay, Answer: r.answer}
	case lost:
		return refuse(AnswerLost, false, t.self)
	}
	if reason := t.judge(now, k); reason != "" {
		return refuse(reason, r.phase == won, t.self)
	}
	if r.phase == won {
		r.phase = running
		return Verdict{Kind: Run}
	}
	return t.poll(k, r, regions)
}

// poll begins to collect votes; the own one is granted.
func (t *Table) poll(k Key, r *record, regions map[string]bool) Verdict {
	r.phase = polling
	r.seats = t.electorate(r.madeAt, regions)
	r.votes = map[string]bool{t.self.Instance: true}
	r.lost = map[string]bool{}
	r.rival = Life{}
	if v := t.tally(k, r); v.Kind == Run {
		return v
	}
	return Verdict{Kind: Poll, Ask: t.ask(k, r), Peers: t.others(r.seats)}
}

func (t *Table) ask(k Key, r *record) Ask {
	return Ask{Key: k, Fingerprint: r.fingerprint, Executor: t.self, Seats: r.seats}
}

// tally runs the request once a majority has granted it, and ends the poll once none can. With an even number of seats, half
// of them with the key's first one is enough. A vote for another life does not end the poll by itself: that life may never
// get a majority, and would hold the key for good.
func (t *Table) tally(k Key, r *record) Verdict {
	const seatWeight, firstWeight = 2, 3
	first := firstSeat(k, r.seats)
	granted, lost, all := 0, 0, 0
	for _, s := range r.seats {
		weight := seatWeight
		if s.Instance == first {
			weight = firstWeight
		}
		all += weight
		switch {
		case r.votes[s.Instance]:
			granted += weight
		case r.lost[s.Instance]:
			lost += weight
		}
	}
	if 2*(all-lost) <= all {
		return r.close()
	}
	if 2*granted <= all {
		return Verdict{Kind: Wait}
	}
	r.phase = running
	r.votes, r.lost, r.seats = nil, nil, nil
	return Verdict{Kind: Run}
}

func firstSeat(k Key, seats []Seat) string {
	var first string
	var best uint64
	for _, s := range seats {
		if h := k.hash(s.Instance); first == "" || h > best {
			first, best = s.Instance, h
		}
	}
	return first
}

// Count takes a vote on a key. The verdict is Run, Wait, Refuse, or Poll if seats were missing and all must be asked again.
// Votes on a key that is not being polled for change nothing and give Wait.
func (t *Table) Count(now time.Time, k Key, v Vote, regions map[string]bool) Verdict {
	now = t.advance(now)
	r := t.records[k]
	if r == nil || r.phase != polling {
		return Verdict{Kind: Wait}
	}
	if t.withdrawn || t.unlisted || t.matureAt.IsZero() {
		return t.Close(now, k)
	}
	switch v.Kind {
	case Granted:
		if v.Holder == t.self {
			r.votes[v.From.Instance] = true
		}
		return t.tally(k, r)
	case Bound:
		r.lost[v.From.Instance] = true
		r.rival = v.Holder
		return t.tally(k, r)
	case Missing:
		t.learnAll(v.Seats)
		if len(t.electorate(r.madeAt, regions)) == len(r.seats) {
			return Verdict{Kind: Wait}
		}
		return t.poll(k, r, regions)
	}
	return Verdict{Kind: Wait}
}

// Close ends a poll to which no more votes will come. It is not known whether another life ran the request.
func (t *Table) Close(now time.Time, k Key) Verdict {
	t.advance(now)
	r := t.records[k]
	if r == nil || r.phase != polling {
		return Verdict{Kind: Wait}
	}
	return r.close()
}

// close ends the poll. If another life holds votes, it may have run the request.
func (r *record) close() Verdict {
	r.phase = recorded
	if r.rival != (Life{}) {
		return refuse(HeldElsewhere, false, r.rival)
	}
	return refuse(NoMajority, false, Life{})
}

// Finish remembers the answer of a request that ran.
func (t *Table) Finish(now time.Time, k Key, answer []byte) {
	t.advance(now)
	r := t.records[k]
	if r == nil || r.phase != running {
		return
	}
	r.phase = lost
	if t.bytes+len(answer) <= t.limits.AnswerBytes {
		r.phase = done
		r.answer = answer
		t.bytes += len(answer)
	}
}

// Withdraw says that a request granted by Run did not run after all: no byte went to the target. It may run later.
func (t *Table) Withdraw(now time.Time, k Key) {
	t.advance(now)
	if r := t.records[k]; r != nil && r.phase == running {
		r.phase = won
	}
}

// Lose says that a request may have run but that its answer is not known.
func (t *Table) Lose(now time.Time, k Key) {
	t.advance(now)
	if r := t.records[k]; r != nil && r.phase == running {
		r.phase = lost
	}
}

// Vote answers the Ask of another seat. Regions are those that the route allows by this instance's own snapshot.
func (t *Table) Vote(now time.Time, a Ask, regions map[string]bool) Vote {
	now = t.advance(now)
	electorate := t.electorate(a.Key.madeAt(now), regions)
	t.learnAll(a.Seats)
	if lacks(a.Seats, electorate) {
		return Vote{Kind: Missing, From: t.self, Seats: electorate}
	}
	if r := t.records[a.Key]; r != nil {
		return t.repeatVote(a, r)
	}
	switch t.judge(now, a.Key) {
	case "":
	case Immature, Withdrawn:
		return Vote{Kind: Young, From: t.self}
	default:
		return Vote{Kind: Rejected, From: t.self}
	}
	if t.bind(now, a.Key, a.Fingerprint, a.Executor) == nil {
		return Vote{Kind: Full, From: t.self}
	}
	return Vote{Kind: Granted, From: t.self, Holder: a.Executor}
}

func (t *Table) repeatVote(a Ask, r *record) Vote {
	switch {
	case r.fingerprint != a.Fingerprint:
		return Vote{Kind: Rejected, From: t.self}
	case r.holder != a.Executor:
		return Vote{Kind: Bound, From: t.self, Holder: r.holder}
	}
	return Vote{Kind: Granted, From: t.self, Holder: a.Executor}
}

// lacks reports whether seats lacks one of the electorate.
func lacks(seats, electorate []Seat) bool {
	counted := make(map[string]bool, len(seats))
	for _, s := range seats {
		counted[s.Instance] = true
	}
	return slices.ContainsFunc(electorate, func(s Seat) bool { return !counted[s.Instance] })
}
