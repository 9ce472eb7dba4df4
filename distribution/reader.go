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

// Limits of the back-off of reads of the platform.
const (
	readBackoffMin = 200 * time.Millisecond
	readBackoffMax = 8 * time.Second
)

// ErrNoChange is the result of a watch that ended without a change; the watch is restarted.
var ErrNoChange = errors.New("watch ended without a change; it is restarted")

// watch is the state of a long poll of the platform. A manifest watch waits for a tag other than after, a list watch for
// a version above version; delay is the current back-off.
type watch struct {
	id      uint64
	open    bool
	after   string
	version uint64
	nextAt  time.Time
	delay   time.Duration
}

// fetch collects the chunks of one published catalogue.
type fetch struct {
	manifest  catalogue.Manifest
	have      map[document.Digest][]document.Entry
	requested map[document.Digest]bool
	nextAt    time.Time
	delay     time.Duration
}

// readerState holds the reads of the platform by this process.
type readerState struct {
	limiter  *rate.Limiter
	lastID   uint64
	manifest *watch
	// tag is the platform's tag of the last manifest received, so that a restarted watch waits for the next change.
	tag     string
	lists   map[string]*watch
	fetch   *fetch
	failing bool
	// machine runs the reader chart.
	machine *chart.Machine
}

func newReader(l Limits) readerState {
	return readerState{limiter: newLimiter(l.ReadsPerSecond, l.ReadBurst), lists: map[string]*watch{}, machine: chart.NewMachine(readerChart)}
}

// readerTick starts and stops the watches according to the role of the process.
func (c *Core) readerTick(now time.Time) {
	if !c.cfg.HasSource {
		return
	}
	manifest, lists := c.wantedReads(now)
	c.updateReaderRole(now, manifest)
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
		return c.readsWithoutCatalogue(now)
	}
	if c.phase == Joining {
		if c.mayReadPlatform(now) && c.tree.root {
			return false, c.missingLists()
		}
		return false, nil
	}
	// A root starts to read only once its role has settled. Otherwise each change of role while many processes return at
	// once would cost further reads of the platform.
	if !c.tree.root {
		return false, nil
	}
	if now.Sub(c.tree.rootSince) < c.cfg.Timing.Settle || now.Before(c.tree.readNotBefore) {
		return false, nil
	}
	if c.nearPlatform(c.region()) {
		return true, c.assignedLists(now)
	}
	// Processes in regions not near the platform read it only while they have no contact with the other region or that
	// region reports that its reads fail.
	if c.linkAge(now) < c.cfg.Timing.FallbackDelay && !c.linkSourceFailing() {
		return false, nil
	}
	return true, append(c.missingLists(), c.cfg.Self.FailureDomain)
}

// linkSourceFailing reports whether this process pulls from a region whose readers fail to read the platform.
func (c *Core) linkSourceFailing() bool {
	u := c.tree.upstreams[c.tree.linkPeer]
	return c.tree.pulling && u != nil && u.sourceFailing
}

// missingLists returns the failure domains whose lists this process does not have.
func (c *Core) missingLists() []string {
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

// assignedLists returns the failure domains whose lists this root reads: its own, and those assigned to it by rank
// because their region is not near the platform or they have no usable instance.
func (c *Core) assignedLists(now time.Time) []string {
	own := c.cfg.Self.FailureDomain
	var readers, unread []string
	// The other roots near the platform get time to appear before their lists are reassigned.
	settling := now.Sub(c.tree.rootSince) < 4*c.cfg.Timing.Settle
	for _, r := range c.topology.Regions {
		for _, fd := range r.FailureDomains {
			hasReader := c.nearPlatform(r.Name) && (fd == own || settling || len(c.members.First(now, fd, 1)) > 0)
			if hasReader {
				readers = append(readers, fd)
			} else {
				unread = append(unread, fd)
			}
		}
	}
	lists := []string{own}
	for _, fd := range unread {
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

// openWatch prepares the watch of the manifest; it continues after the tag received last.
func (c *Core) openWatch() {
	if c.reader.manifest == nil {
		c.reader.manifest = &watch{after: c.reader.tag}
	}
}

// closeWatch ends the watch of the manifest if it is open.
func (c *Core) closeWatch() {
	if w := c.reader.manifest; w != nil && w.open {
		w.open = false
		c.emit(StopManifest{ID: w.id})
	}
}

// dropWatch discards the manifest watch and an unfinished fetch when the process stops being a reader.
func (c *Core) dropWatch() {
	if c.reader.fetch != nil {
		c.reader.tag = ""
	}
	c.reader.manifest, c.reader.fetch = nil, nil
}

// watchManifest opens the watch of the manifest if the process is in state reading and its read limit allows it.
func (c *Core) watchManifest(now time.Time) {
	w := c.reader.manifest
	if c.reader.machine.State() != charts.ReaderReading || w.open || !c.reader.limiter.AllowN(now, 1) {
		return
	}
	w.id, w.open = c.nextID(), true
	c.emit(WatchManifest{ID: w.id, After: w.after})
}

func (c *Core) watchList(now time.Time, fd string) {
	w := c.reader.lists[fd]
	if w == nil {
		w = &watch{version: c.store.version(origin.InstancesDocument(fd)).Revision}
		c.reader.lists[fd] = w
	}
	if w.open || now.Before(w.nextAt) || !c.reader.limiter.AllowN(now, 1) {
		return
	}
	w.id, w.open = c.nextID(), true
	c.emit(WatchList{ID: w.id, FailureDomain: fd, After: w.version})
}

func (c *Core) stopList(fd string, w *watch) {
	if w.open {
		c.emit(StopList{ID: w.id, FailureDomain: fd})
	}
	delete(c.reader.lists, fd)
}

// stopReading ends all watches.
func (c *Core) stopReading() {
	if c.reader.machine.State() != charts.ReaderFollower {
		c.readerEvent(c.lastTick, charts.OnReaderRankedFollower)
		c.dropWatch()
	}
	for fd, w := range c.reader.lists {
		c.stopList(fd, w)
	}
}

// nextRetry doubles delay within the limits of the back-off, and returns the time of the next read after a failure.
func (c *Core) nextRetry(now time.Time, delay *time.Duration) time.Time {
	*delay = min(max(2**delay, readBackoffMin), readBackoffMax)
	return now.Add(c.jitter(*delay))
}

// recordSourceResult reports when the reads of the platform begin to fail, and when they succeed again.
func (c *Core) recordSourceResult(err error) {
	if errors.Is(err, origin.ErrNotFound) {
		return
	}
	if errors.Is(err, origin.ErrThrottled) {
		// A throttling platform is not counted as failing: a fallback to other readers would only add load.
		c.reportOnce(DocumentVersion{Name: "throttled"}, Report{
			Kind: ReportSource, Subject: "platform", Detail: err.Error(), Remedy: "raise the read budget of the platform, or look for other clients that read it",
		})
		return
	}
	failing := err != nil
	if failing == c.reader.failing {
		return
	}
	c.reader.failing = failing
	r := Report{Kind: ReportSource, Subject: "platform", Detail: "platform reads succeed again"}
	if failing {
		r.Detail = "platform read failed: " + err.Error()
		r.Remedy = "the snapshot in force stays; reads are retried with back-off"
	}
	c.emit(r)
}

func (c *Core) manifestRead(now time.Time, e ManifestRead) {
	w := c.reader.manifest
	current := w != nil && w.id == e.ID
	if current {
		w.open = false
		if errors.Is(e.Err, ErrNoChange) {
			return
		}
		c.recordSourceResult(e.Err)
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
	c.startFetch(now, e.Manifest)
	c.readerTick(now)
}

// startFetch starts to fetch a catalogue that supersedes the stored one.
func (c *Core) startFetch(now time.Time, m catalogue.Manifest) {
	if !c.supersedes(catalogueName, m.Version(), "platform") || len(m.Chunks) > maxChunks {
		return
	}
	if f := c.reader.fetch; f != nil && f.manifest.Revision >= m.Revision {
		return
	}
	f := &fetch{manifest: m, have: map[document.Digest][]document.Entry{}, requested: map[document.Digest]bool{}}
	if current := c.store.get(catalogueName); current != nil {
		for i, d := range current.ChunkDigests() {
			f.have[d] = current.ChunkEntries(i)
		}
	}
	f.have[document.EmptyChunkDigest()] = nil
	c.reader.fetch = f
	c.requestChunks(now)
	c.assemble(now)
}

// requestChunks reads the missing chunks, within the read limit.
func (c *Core) requestChunks(now time.Time) {
	f := c.reader.fetch
	for _, d := range f.manifest.Chunks {
		if _, ok := f.have[d]; ok || f.requested[d] {
			continue
		}
		if !c.reader.limiter.AllowN(now, 1) {
			f.nextAt = now.Add(readBackoffMin)
			return
		}
		f.requested[d] = true
		c.emit(ReadChunk{Digest: d})
	}
	f.nextAt = now.Add(readBackoffMax)
}

func (c *Core) chunkRead(now time.Time, e ChunkRead) {
	f := c.reader.fetch
	if f == nil || !f.requested[e.Digest] {
		return
	}
	delete(f.requested, e.Digest)
	if e.Err != nil {
		c.recordSourceResult(e.Err)
		f.nextAt = c.nextRetry(now, &f.delay)
		return
	}
	f.have[e.Digest] = e.Entries
	c.assemble(now)
}

// assemble builds the catalogue once all chunks are present, and verifies it against the manifest.
func (c *Core) assemble(now time.Time) {
	f := c.reader.fetch
	for _, d := range f.manifest.Chunks {
		if _, ok := f.have[d]; !ok {
			return
		}
	}
	c.reader.fetch = nil
	if !c.supersedes(catalogueName, f.manifest.Version(), "platform") {
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

// refusePublished reports a published catalogue whose chunks do not yield the content that its manifest describes. The
// version is not remembered as refused, since a chunk may have been damaged in transit; the next read tries again.
func (c *Core) refusePublished(m catalogue.Manifest, err error) {
	c.reportOnce(compactVersion(catalogueName, m.Version()), Report{
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
		w.open = false
		if errors.Is(e.Err, ErrNoChange) {
			return
		}
		c.recordSourceResult(e.Err)
	}
	if e.Err != nil {
		if current {
			w.nextAt = c.nextRetry(now, &w.delay)
		}
		return
	}
	if current {
		w.version, w.delay, w.nextAt = max(w.version, e.Document.Revision()), 0, now
	}
	if c.supersedes(e.Document.Name(), e.Document.Version(), "platform") {
		c.accept(now, e.Document, "platform")
	}
	c.readerTick(now)
}
