package distribution

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

// publish publishes a catalogue on the platform. Its routes and services differ between revisions.
func (f *fleet) publish(revision uint64) {
	doc := makeCatalogue(revision)
	f.versions = append(f.versions, doc)
	f.published = doc
	for i, d := range doc.ChunkDigests() {
		f.chunks[d] = doc.ChunkEntries(i)
	}
	f.answerWaitingReads()
}

func makeCatalogue(revision uint64) *document.Document {
	var c catalogue.Catalogue
	text := `{"revision": 1,
	"organisations": [{"name": "haulier-a", "share": 0.4}],
	"regions": [
	 {"name": "obb", "failureDomains": [{"name": "obb-muc", "state": "in"}, {"name": "obb-ro", "state": "in"}]},
	 {"name": "nbb", "failureDomains": [{"name": "nbb-la", "state": "in"}, {"name": "nbb-pa", "state": "in"}]}],
	"services": [{"name": "lagerstand", "owner": "haulier-a", "class": "interactive", "homeRegions": [],
	 "limits": {"slots": 20, "connections": 120, "queue": 40, "coldSlots": 2, "coldPeriod": "20s", "drain": "10s"}}],
	"routes": [{"name": "stock-view", "owner": "haulier-a", "class": "interactive", "service": "lagerstand",
	 "match": {"pathPrefix": "/lagerstand/"}, "repeat": "safe",
	 "limits": {"timeout": "800ms", "concurrency": 200, "bodyBytes": 1048576}}]}`
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		panic(err)
	}
	c.Revision = revision
	// Each revision replaces the service of all routes, so that a partially applied change would leave a dangling route.
	c.Services[0].Name = fmt.Sprintf("lagerstand-%d", revision)
	c.Routes[0].Service = c.Services[0].Name
	doc, err := catalogue.Encode(&c)
	if err != nil {
		panic(err)
	}
	return doc
}

// publishList publishes the platform's list of a failure domain.
func (f *fleet) publishList(fd string, version uint64, names ...string) {
	l := origin.InstanceList{FailureDomain: fd, Version: version}
	for _, name := range names {
		if inst := instance(name); inst.FailureDomain == fd {
			l.Instances = append(l.Instances, inst)
		}
	}
	doc, err := snapshot.EncodeInstances(l)
	if err != nil {
		panic(err)
	}
	f.lists[fd] = doc
	f.answerWaitingReads()
}

func deleteRead(list []waitingRead, n *node, stop Action) []waitingRead {
	var out []waitingRead
	for _, w := range list {
		if w.n == n && readID(w.action) == readID(stop) {
			continue
		}
		out = append(out, w)
	}
	return out
}

func readID(a Action) uint64 {
	switch act := a.(type) {
	case WatchManifest:
		return act.ID
	case WatchList:
		return act.ID
	case StopManifest:
		return act.ID
	case StopList:
		return act.ID
	}
	return 0
}

// read performs a read of the platform after its network delay.
func (f *fleet) read(n *node, a Action) {
	f.reads++
	f.readLog = append(f.readLog, fmt.Sprintf("%v %s %T", f.now.Sub(time.Unix(1_000_000, 0)), n.inst.Name, a))
	f.readKinds[fmt.Sprintf("%T", a)]++
	f.readTimes = append(f.readTimes, f.now)
	incarnation := n.incarnation
	f.schedule(5*time.Millisecond, func() { f.answer(waitingRead{n, incarnation, a}) })
}

// answerWaitingReads answers the reads that are due after a change of the platform.
func (f *fleet) answerWaitingReads() {
	list := f.waiting
	f.waiting = nil
	for _, w := range list {
		f.answer(w)
	}
}

// answer answers a read, or keeps it open until the next change.
func (f *fleet) answer(w waitingRead) {
	var err error
	if f.platformDown || f.platformCut[w.n.inst.FailureDomain] {
		err = origin.ErrUnavailable
	}
	switch a := w.action.(type) {
	case WatchManifest:
		m := catalogue.ManifestOf(f.published)
		tag := fmt.Sprint(m.Revision, m.Digest)
		if err == nil && a.After == tag {
			f.waiting = append(f.waiting, w)
			return
		}
		f.step(w.n, w.incarnation, ManifestRead{ID: a.ID, Manifest: m, Tag: tag, Err: err})
	case WatchList:
		doc := f.lists[a.FailureDomain]
		if err == nil && a.After >= doc.Revision() {
			f.waiting = append(f.waiting, w)
			return
		}
		f.step(w.n, w.incarnation, ListRead{ID: a.ID, FailureDomain: a.FailureDomain, Document: doc, Err: err})
	case ReadChunk:
		entries, ok := f.chunks[a.Digest]
		if err == nil && !ok {
			err = origin.ErrNotFound
		}
		f.step(w.n, w.incarnation, ChunkRead{Digest: a.Digest, Entries: entries, Err: err})
	}
}

// setPlatformDown takes the platform down or up; open reads fail when it goes down.
func (f *fleet) setPlatformDown(down bool) {
	f.platformDown = down
	f.answerWaitingReads()
}
