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

// publish puts a catalogue on the platform. Its routes differ with the revision.
func (f *fleet) publish(revision uint64) {
	doc := makeCatalogue(revision)
	f.versions = append(f.versions, doc)
	f.published = doc
	for i, d := range doc.ChunkDigests() {
		f.chunks[d] = doc.ChunkEntries(i)
	}
	f.wakeReads()
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
	// Each revision replaces the service that all routes point at, so that half a change would leave a dangling route.
	c.Services[0].Name = fmt.Sprintf("lagerstand-%d", revision)
	c.Routes[0].Service = c.Services[0].Name
	doc, err := catalogue.Encode(&c)
	if err != nil {
		panic(err)
	}
	return doc
}

// list publishes the platform's list of a failure domain.
func (f *fleet) list(fd string, version uint64, names ...string) {
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
	f.wakeReads()
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

// read performs a read of the platform after its delay.
func (f *fleet) read(n *node, a Action) {
	f.reads++
	f.readLog = append(f.readLog, fmt.Sprintf("%v %s %T", f.now.Sub(time.Unix(1_000_000, 0)), n.inst.Name, a))
	f.readKinds[fmt.Sprintf("%T", a)]++
	f.readTimes = append(f.readTimes, f.now)
	life := n.life
	f.at(5*time.Millisecond, func() { f.answer(waitingRead{n, life, a}) })
}

func (f *fleet) wakeReads() {
	list := f.waiting
	f.waiting = nil
	for _, w := range list {
		f.answer(w)
	}
}

// answer answers a read, or keeps it waiting for a change.
func (f *fleet) answer(w waitingRead) {
	var err error
	if f.down || f.cutStore[w.n.inst.FailureDomain] {
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
		f.step(w.n, w.life, ManifestRead{ID: a.ID, Manifest: m, Tag: tag, Err: err})
	case WatchList:
		doc := f.lists[a.FailureDomain]
		if err == nil && a.After >= doc.Revision() {
			f.waiting = append(f.waiting, w)
			return
		}
		f.step(w.n, w.life, ListRead{ID: a.ID, FailureDomain: a.FailureDomain, Document: doc, Err: err})
	case ReadChunk:
		entries, ok := f.chunks[a.Digest]
		if err == nil && !ok {
			err = origin.ErrNotFound
		}
		f.step(w.n, w.life, ChunkRead{Digest: a.Digest, Entries: entries, Err: err})
	}
}

// setDown takes the platform down or up; waiting reads fail.
func (f *fleet) setDown(down bool) {
	f.down = down
	f.wakeReads()
}
