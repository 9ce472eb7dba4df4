package once

import (
	"slices"
	"time"
)

// Submit requests to run a keyed request at this instance. The fingerprint distinguishes different requests with the same
// key. Regions are those that the route allows; nil allows any.
func (t *Table) Submit(now time.Time, k Key, fingerprint uint64, regions map[string]bool) Verdict {
	now = t.advance(now)
	if r := t.records[k]; r != nil {
		return t.resubmit(now, k, r, fingerprint, regions)
	}
	if reason := t.checkKey(now, k); reason != "" {
		// A key this far ahead of this clock is ahead of all clocks, so no voter has bound it.
		ahead := k.madeAt(now).After(now.Add(2 * MaxClockSkew))
		return refuse(reason, ahead, Incarnation{})
	}
	r := t.bind(now, k, fingerprint, t.self)
	if r == nil {
		return refuse(MemoryFull, false, Incarnation{})
	}
	return t.poll(k, r, regions)
}

// resubmit decides on a key that is already recorded here.
func (t *Table) resubmit(now time.Time, k Key, r *record, fingerprint uint64, regions map[string]bool) Verdict {
	switch {
	case r.fingerprint != fingerprint:
		return refuse(KeyReused, false, Incarnation{})
	case r.holder != t.self:
		return refuse(BoundElsewhere, false, r.holder)
	}
	switch r.phase {
	case polling, running:
		return Verdict{Kind: Join}
	case done:
		return Verdict{Kind: Replay, Response: r.response}
	case lost:
		return refuse(ResponseLost, false, t.self)
	}
	if reason := t.checkKey(now, k); reason != "" {
		return refuse(reason, r.phase == acquired, t.self)
	}
	if r.phase == acquired {
		r.phase = running
		return Verdict{Kind: Run}
	}
	return t.poll(k, r, regions)
}

// poll starts a poll for votes. This incarnation's own vote is granted.
func (t *Table) poll(k Key, r *record, regions map[string]bool) Verdict {
	r.phase = polling
	r.voters = t.eligibleVoters(r.madeAt, regions)
	r.votes = map[string]bool{t.self.Instance: true}
	r.against = map[string]bool{}
	r.otherHolder = Incarnation{}
	if v := t.tally(k, r); v.Kind == Run {
		return v
	}
	return Verdict{Kind: Poll, VoteRequest: t.voteRequest(k, r), Peers: t.others(r.voters)}
}

func (t *Table) voteRequest(k Key, r *record) VoteRequest {
	return VoteRequest{Key: k, Fingerprint: r.fingerprint, Executor: t.self, Voters: r.voters}
}

// tally returns Run once a majority has granted the key, and ends the poll once no majority can. With an even number of
// voters, half of them suffice if they include the key's first voter. A vote for another incarnation does not end the poll
// by itself: that incarnation may never get a majority, and would block the key permanently.
func (t *Table) tally(k Key, r *record) Verdict {
	const voterWeight, firstWeight = 2, 3
	first := firstVoter(k, r.voters)
	granted, against, all := 0, 0, 0
	for _, v := range r.voters {
		weight := voterWeight
		if v.Instance == first {
			weight = firstWeight
		}
		all += weight
		switch {
		case r.votes[v.Instance]:
			granted += weight
		case r.against[v.Instance]:
			against += weight
		}
	}
	if 2*(all-against) <= all {
		return r.close()
	}
	if 2*granted <= all {
		return Verdict{Kind: Wait}
	}
	r.phase = running
	r.votes, r.against, r.voters = nil, nil, nil
	return Verdict{Kind: Run}
}

func firstVoter(k Key, voters []Voter) string {
	var first string
	var best uint64
	for _, v := range voters {
		if h := k.hash(v.Instance); first == "" || h > best {
			first, best = v.Instance, h
		}
	}
	return first
}

// HandleVote counts a vote on a key. It returns Run, Wait, Refuse, or Poll if voters were missing and all must be asked
// again. A vote on a key that is not being polled for is ignored and gives Wait.
func (t *Table) HandleVote(now time.Time, k Key, v Vote, regions map[string]bool) Verdict {
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
		r.against[v.From.Instance] = true
		r.otherHolder = v.Holder
		return t.tally(k, r)
	case Missing:
		t.addVoters(v.Voters)
		if len(t.eligibleVoters(r.madeAt, regions)) == len(r.voters) {
			return Verdict{Kind: Wait}
		}
		return t.poll(k, r, regions)
	}
	return Verdict{Kind: Wait}
}

// Close ends a poll for which no more votes will arrive. It is then not known whether another incarnation ran the request.
func (t *Table) Close(now time.Time, k Key) Verdict {
	t.advance(now)
	r := t.records[k]
	if r == nil || r.phase != polling {
		return Verdict{Kind: Wait}
	}
	return r.close()
}

// close ends the poll. If another incarnation has votes, it may have run the request.
func (r *record) close() Verdict {
	r.phase = recorded
	if r.otherHolder != (Incarnation{}) {
		return refuse(BoundElsewhere, false, r.otherHolder)
	}
	return refuse(NoMajority, false, Incarnation{})
}

// Finish records the response of a request that ran.
func (t *Table) Finish(now time.Time, k Key, response []byte) {
	t.advance(now)
	r := t.records[k]
	if r == nil || r.phase != running {
		return
	}
	r.phase = lost
	if t.bytes+len(response) <= t.limits.ResponseBytes {
		r.phase = done
		r.response = response
		t.bytes += len(response)
	}
}

// Abort records that a request did not run although the verdict was Run: no byte was sent to the target. It may run later.
func (t *Table) Abort(now time.Time, k Key) {
	t.advance(now)
	if r := t.records[k]; r != nil && r.phase == running {
		r.phase = acquired
	}
}

// MarkLost records that a request may have run but that its response is not known.
func (t *Table) MarkLost(now time.Time, k Key) {
	t.advance(now)
	if r := t.records[k]; r != nil && r.phase == running {
		r.phase = lost
	}
}

// Vote returns this voter's vote on another executor's request. Regions are those that the route allows according to this
// instance's own snapshot.
func (t *Table) Vote(now time.Time, req VoteRequest, regions map[string]bool) Vote {
	now = t.advance(now)
	eligibleVoters := t.eligibleVoters(req.Key.madeAt(now), regions)
	t.addVoters(req.Voters)
	if lacks(req.Voters, eligibleVoters) {
		return Vote{Kind: Missing, From: t.self, Voters: eligibleVoters}
	}
	if r := t.records[req.Key]; r != nil {
		return t.voteOnRecord(req, r)
	}
	switch t.checkKey(now, req.Key) {
	case "":
	case Immature, Withdrawn:
		return Vote{Kind: NotMature, From: t.self}
	default:
		return Vote{Kind: Rejected, From: t.self}
	}
	if t.bind(now, req.Key, req.Fingerprint, req.Executor) == nil {
		return Vote{Kind: Full, From: t.self}
	}
	return Vote{Kind: Granted, From: t.self, Holder: req.Executor}
}

func (t *Table) voteOnRecord(req VoteRequest, r *record) Vote {
	switch {
	case r.fingerprint != req.Fingerprint:
		return Vote{Kind: Rejected, From: t.self}
	case r.holder != req.Executor:
		return Vote{Kind: Bound, From: t.self, Holder: r.holder}
	}
	return Vote{Kind: Granted, From: t.self, Holder: req.Executor}
}

// lacks reports whether voters lacks one of eligibleVoters.
func lacks(voters, eligibleVoters []Voter) bool {
	counted := make(map[string]bool, len(voters))
	for _, v := range voters {
		counted[v.Instance] = true
	}
	return slices.ContainsFunc(eligibleVoters, func(v Voter) bool { return !counted[v.Instance] })
}
