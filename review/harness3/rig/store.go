package rig

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// maxItems is the largest number of items on a page.
const maxItems = 500

// item is an entry of the store, or the removal of one.
type item struct {
	Key        string
	Value      []byte `json:",omitempty"`
	Revision   uint64
	CreatedRev uint64 `json:",omitempty"`
	LeaseID    uint64 `json:"LeaseId"`
	Compacted  bool   `json:",omitempty"`
}

// Store is a stand-in for the platform's store, of which nodes only read. It keeps its whole history.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	log      []item
	changed  chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// Put writes a value, encoded as JSON.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	old, ok := s.items[key]
	e := item{Key: key, Value: data, Revision: s.revision, CreatedRev: s.revision}
	if ok {
		e.CreatedRev = old.CreatedRev
	}
	s.items[key] = e
	s.append(e)
}

// Remove removes an entry.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Compacted: true})
}

// append adds a change to the history and wakes the watches. It must be called with s.mu held.
func (s *Store) append(e item) {
	s.log = append(s.log, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// PutConfig writes the operators' configuration.
func (s *Store) PutConfig(config map[string]any) { s.Put(wire.ConfigKey, config) }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	after := query.Get("after")
	switch r.URL.Path {
	case wire.KeyPath:
		s.mu.Lock()
		e, ok := s.items[query.Get("Key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			http.NotFound(w, r)
			return
		}
		answer(w, struct {
			item
			AtRev uint64
		}{e, at})
	case wire.RangePath:
		answer(w, s.page(query.Get(wire.Prefix), after))
	case wire.WatchPath:
		revision, _ := strconv.ParseUint(after, 10, 64)
		wait, _ := strconv.Atoi(query.Get("WaitMs"))
		answer(w, s.watch(r, query.Get(wire.Prefix), revision, time.Duration(min(wait, 30_000))*time.Millisecond))
	default:
		http.NotFound(w, r)
	}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) page(prefix, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, e := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, e)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > maxItems
	return map[string]any{"items": items[:min(len(items), maxItems)], "HasMore": more, "AtRev": s.revision}
}

func (s *Store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) any {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, changed, at := []item{}, s.changed, s.revision
		for _, e := range s.log {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			return map[string]any{"events": events, "AtRev": at}
		}
		select {
		case <-changed:
		case <-timer.C:
			return map[string]any{"events": events, "AtRev": at}
		case <-r.Context().Done():
			return nil
		}
	}
}
