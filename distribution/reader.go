package distribution

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/chart"
	"github.com/chervilwell/chervilwell/chart/charts"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/rank"
)

// Bounds of the backoff of reads of the platform.
const (
	readBackoffMin = 200 * time.Millisecond
	readBackoffMax = 8 * time.Second
)

// ErrNoChange is the outcome of a watch that ended without a change; it is begun again.
var ErrNoChange = errors.New("watch ended without a change; it is begun again")

// watch is a standing read of the platform.
type watch struct {
	id      uint64
	waiting bool
	after   string
	version uint64
	nextAt  time.Time
	delay   time.Duration
}

// fetch collects the chunks of one published catalogue.
type fetch struct {
	manifest catalogue.Manifest
	have     map[document.Digest][]document.Entry
	waiting  map[document.Digest]bool
	nextAt   time.Time
	delay    time.Duration
}

// readerState holds what this process reads from the platform.
type readerState struct {
	limiter  *rate.Limiter
	lastID   uint64
	manifest *watch
	// tag is the platform's tag of the manifest that was taken last, so that a watch that is begun again waits for news.
	tag     string
	lists   map[string]*watch
	fetch   *fetch
	failing bool
	// machine is the chart of the role towards the platform.
	machine *chart.Machine
}

func newReader(l Limits) readerState {
	return readerState{limiter: newLimiter(l.ReadsPerSecond, l.ReadBurst), lists: map[string]*watch{}, machine: chart.NewMachine(readerChart)}
}

// readerTick starts and stops the watches that the process's role calls for.
func (c *Core) readerTick(now time.Time) {
	if !c.cfg.HasSource {
		return
	}
	manifest, lists := c.wantedReads(now)
	c.followRole(now, manifest)
	c.watchManifest(now)
	for fd, w := range c.reader.lists {
		if !slices.Contains(lists, fd) {
			c.stopList(fd, w)
		}
	}
	for _, fd := range lists {
		c.watchList(now, fd)
	}
	if f := c.reader.fetch; f != nil && !now.Before(f.nextAt) {
		c.requestChunks(now)
	}
}

// wantedReads returns whether to watch the manifest, and the failure domains whose lists to watch.
func (c *Core) wantedReads(now time.Time) (bool, []string) {
	if c.phase == Joining && c.store.get(catalogueName) == nil {
		return c.joinReadsFirst(now)
	}
	if c.phase == Joining {
		if c.joinReads(now) && c.tree.root {
			return false, c.lackingLists()
		}
		return false, nil
	}
	// A root begins to read once its role has settled, so that a herd that comes back does not pass the role around on the
	// platform's account.
	if !c.tree.root {
		return false, nil
	}
	if now.Sub(c.tree.rootSince) < c.cfg.Timing.Settle || now.Before(c.tree.deferred) {
		return false, nil
	}
	if c.nearStore(c.region()) {
		return true, c.assignedLists(now)
	}
	// Away from the platform it is read only while the other region is silent, or says that it can't read it.
	if c.linkAge(now) < c.cfg.Timing.Fallback && !c.linkSourceFailing() {
		return false, nil
	}
	return true, append(c.lackingLists(), c.cfg.Self.FailureDomain)
}

// linkSourceFailing reports whether this process pulls from a region whose readers fail to read the platform.
func (c *Core) linkSourceFailing() bool {
	u := c.tree.upstreams[c.tree.linkPeer]
	return c.tree.pulling && u != nil && u.sourceFailing
}

// lackingLists returns the failure domains whose lists are not held at all.
func (c *Core) lackingLists() []string {
	var lists []string
	for _, r := range c.topology.Regions {
		for _, fd := range r.FailureDomains {
			if c.store.get(origin.InstancesDocument(fd)) == nil {
				lists = append(lists, fd)
			}
		}
	}
	return lists
}

// assignedLists returns the failure domains whose lists this root reads: its own, and those away from the platform or
// without a usable root that rank assigns to it.
func (c *Core) assignedLists(now time.Time) []string {
	own := c.cfg.Self.FailureDomain
	var readers, rest []string
	// The other roots near the platform are given time to appear before their lists are read in their place.
	fresh := now.Sub(c.tree.rootSince) < 4*c.cfg.Timing.Settle
	for _, r := range c.topology.Regions {
		for _, fd := range r.FailureDomains {
			near := c.nearStore(r.Name) && (fd == own || fresh || len(c.members.First(now, fd, 1)) > 0)
			if near {
				readers = append(readers, fd)
			} else {
				rest = append(rest, fd)
			}
		}
	}
	lists := []string{own}
	for _, fd := range rest {
		if order := rank.Sort("list/"+fd, readers); len(order) == 0 || order[0] == own {
			lists = append(lists, fd)
		}
	}
	return lists
}

func (c *Core) nextID() uint64 {
	c.reader.lastID++
	return c.reader.lastID
}

// openWatch prepares the watch of the manifest; it continues after the tag that was taken last.
func (c *Core) openWatch() {
	if c.reader.manifest == nil {
		c.reader.manifest = &watch{after: c.reader.tag}
	}
}

// closeWatch ends a waiting watch of the manifest.
func (c *Core) closeWatch() {
	if w := c.reader.manifest; w != nil && w.waiting {
		w.waiting = false
		c.emit(StopManifest{ID: w.id})
	}
}

// forgetWatch drops what was read in a role that the process has left.
func (c *Core) forgetWatch() {
	if c.reader.fetch != nil {
		c.reader.tag = ""
	}
	c.reader.manifest, c.reader.fetch = nil, nil
}

// watchManifest begins to wait for the manifest while the process reads, within its budget.
func (c *Core) watchManifest(now time.Time) {
	w := c.reader.manifest
	if c.reader.machine.State() != charts.ReaderReading || w.waiting || !c.reader.limiter.AllowN(now, 1) {
		return
	}
	w.id, w.waiting = c.nextID(), true
	c.emit(WatchManifest{ID: w.id, After: w.after})
}

func (c *Core) watchList(now time.Time, fd string) {
	w := c.reader.lists[fd]
	if w == nil {
		w = &watch{version: c.store.version(origin.InstancesDocument(fd)).Revision}
		c.reader.lists[fd] = w
	}
	if w.waiting || now.Before(w.nextAt) || !c.reader.limiter.AllowN(now, 1) {
		return
	}
	w.id, w.waiting = c.nextID(), true
	c.emit(WatchList{ID: w.id, FailureDomain: fd, After: w.version})
}

func (c *Core) stopList(fd string, w *watch) {
	if w.waiting {
		c.emit(StopList{ID: w.id, FailureDomain: fd})
	}
	delete(c.reader.lists, fd)
}

// stopReading ends all watches.
func (c *Core) stopReading() {
	if c.reader.machine.State() != charts.ReaderFollower {
		c.readerEvent(c.lastTick, charts.OnReaderRankedFollower)
		c.forgetWatch()
	}
	for fd, w := range c.reader.lists {
		c.stopList(fd, w)
	}
}

// retryAfter plans the next read after a failure.
func (c *Core) retryAfter(now time.Time, delay *time.Duration) time.Time {
	*delay = min(max(2**delay, readBackoffMin), readBackoffMax)
	return now.Add(c.jitter(*delay))
}

// noteSource reports when the platform stops or resumes answering.
func (c *Core) noteSource(err error) {
	if errors.Is(err, origin.ErrNotFound) {
		return
	}
	if errors.Is(err, origin.ErrThrottled) {
		// A platform that is out of budget is not away: other readers in its place would only add to the load.
		c.reportOnce(DocumentVersion{Name: "throttled"}, Report{
			Kind: ReportSource, Subject: "platform", Detail: err.Error(), Remedy: "raise the read budget, or look for other readers",
		})
		return
	}
	failing := err != nil
	if failing == c.reader.failing {
		return
	}
	c.reader.failing = failing
	r := Report{Kind: ReportSource, Subject: "platform", Detail: "platform answers again"}
	if failing {
		r.Detail = "platform read failed: " + err.Error()
		r.Remedy = "the snapshot in force stays; reads are retried with a backoff"
	}
	c.emit(r)
}

func (c *Core) manifestRead(now time.Time, e ManifestRead) {
	w := c.reader.manifest
	current := w != nil && w.id == e.ID
	if current {
		w.waiting = false
		if errors.Is(e.Err, ErrNoChange) {
			return
		}
		c.noteSource(e.Err)
	}
	if e.Err != nil {
		if current {
			c.readerEvent(now, charts.OnReaderReadFailed)
		}
		return
	}
	if current {
		w.after, w.delay, w.nextAt = e.Tag, 0, now
		c.reader.tag = e.Tag
	}
	c.takeManifest(now, e.Manifest)
	c.readerTick(now)
}

// takeManifest begins to fetch a catalogue that follows the one held.
func (c *Core) takeManifest(now time.Time, m catalogue.Manifest) {
	if !c.follows(catalogueName, m.Version(), "platform") || len(m.Chunks) > maxChunks {
		return
	}
	if f := c.reader.fetch; f != nil && f.manifest.Revision >= m.Revision {
		return
	}
	f := &fetch{manifest: m, have: map[document.Digest][]document.Entry{}, waiting: map[document.Digest]bool{}}
	if held := c.store.get(catalogueName); held != nil {
		for i, d := range held.ChunkDigests() {
			f.have[d] = held.ChunkEntries(i)
		}
	}
	f.have[document.EmptyChunk()] = nil
	c.reader.fetch = f
	c.requestChunks(now)
	c.assemble(now)
}

// requestChunks reads the chunks that are lacking, within the budget.
func (c *Core) requestChunks(now time.Time) {
	f := c.reader.fetch
	for _, d := range f.manifest.Chunks {
		if _, ok := f.have[d]; ok || f.waiting[d] {
			continue
		}
		if !c.reader.limiter.AllowN(now, 1) {
			f.nextAt = now.Add(readBackoffMin)
			return
		}
		f.waiting[d] = true
		c.emit(ReadChunk{Digest: d})
	}
	f.nextAt = now.Add(readBackoffMax)
}

func (c *Core) chunkRead(now time.Time, e ChunkRead) {
	f := c.reader.fetch
	if f == nil || !f.waiting[e.Digest] {
		return
	}
	delete(f.waiting, e.Digest)
	if e.Err != nil {
		c.noteSource(e.Err)
		f.nextAt = c.retryAfter(now, &f.delay)
		return
	}
	f.have[e.Digest] = e.Entries
	c.assemble(now)
}

// assemble builds the catalogue once all chunks are there, and verifies it against the manifest.
func (c *Core) assemble(now time.Time) {
	f := c.reader.fetch
	for _, d := range f.manifest.Chunks {
		if _, ok := f.have[d]; !ok {
			return
		}
	}
	c.reader.fetch = nil
	if !c.follows(catalogueName, f.manifest.Version(), "platform") {
		return
	}
	doc, err := document.Assemble(catalogueName, f.manifest.Revision, f.manifest.Chunks, c.store.get(catalogueName), f.have)
	if err == nil && doc.Version() != f.manifest.Version() {
		err = document.ErrDigestMismatch
	}
	if err != nil {
		c.refusePublished(f.manifest, err)
		return
	}
	c.accept(now, doc, "platform")
}

// refusePublished reports a published catalogue whose chunks do not make the content that its manifest names. It is not
// remembered as refused, since a chunk may have been damaged on its way; the next read tries again.
func (c *Core) refusePublished(m catalogue.Manifest, err error) {
	c.reportOnce(compact(catalogueName, m.Version()), Report{
		Kind: ReportRefused, Subject: catalogueName, Version: m.Version(),
		Detail: "published catalogue refused: " + err.Error(), Remedy: "publish it again with chervilwellctl render",
	})
	c.reader.tag = ""
	if w := c.reader.manifest; w != nil {
		w.after = ""
	}
}

func (c *Core) listRead(now time.Time, e ListRead) {
	w := c.reader.lists[e.FailureDomain]
	current := w != nil && w.id == e.ID
	if current {
		w.waiting = false
		if errors.Is(e.Err, ErrNoChange) {
			return
		}
		c.noteSource(e.Err)
	}
	if e.Err != nil {
		if current {
			w.nextAt = c.retryAfter(now, &w.delay)
		}
		return
	}
	if current {
		w.version, w.delay, w.nextAt = max(w.version, e.Document.Revision()), 0, now
	}
	if c.follows(e.Document.Name(), e.Document.Version(), "platform") {
		c.accept(now, e.Document, "platform")
	}
	c.readerTick(now)
}
