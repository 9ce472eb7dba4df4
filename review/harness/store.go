package harness

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

//go:embed wire.json
var wireJSON []byte

// wire holds the paths and keys of the platform, and its messages with a placeholder for each value that differs.
var wire = func() (w struct {
	Range                                   string `json:"range"`
	Watch                                   string `json:"watch"`
	PrefixParam                             string `json:"prefix_param"`
	ConfigKey                               string `json:"config_key"`
	TargetPrefix                            string `json:"target_prefix"`
	Settings, Config, Service, Host, Target json.RawMessage
},
) {
	if err := json.Unmarshal(wireJSON, &w); err != nil {
		panic(err)
	}
	return w
}()

// storeDelay is the time that the store takes for a call.
const storeDelay = 4 * time.Millisecond

// pageItems is the largest number of items in one response to a range call.
const pageItems = 500

type item struct {
	Key        string
	Value      []byte `json:",omitempty"`
	Revision   uint64
	CreatedRev uint64
	LeaseID    uint64 `json:"LeaseId"`
	Compacted  bool   `json:",omitempty"`
}

// Store is a stand-in for the platform's store. Nothing is lost, reads are linearizable, and the whole history is kept.
type Store struct {
	Addr netip.AddrPort

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

// newStore starts a store that listens on ip.
func newStore(ip netip.Addr) (*Store, error) {
	l, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return nil, err
	}
	s := &Store{Addr: netip.MustParseAddrPort(l.Addr().String()), revision: 100, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.Range, s.serveRange)
	mux.HandleFunc("GET "+wire.Watch, s.serveWatch)
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return s, nil
}

// Put writes an item.
func (s *Store) Put(key string, value []byte) { s.write(item{Key: key, Value: value}) }

// Delete removes an item.
func (s *Store) Delete(key string) { s.write(item{Key: key, Compacted: true}) }

func (s *Store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.CreatedRev = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.CreatedRev = old.CreatedRev
	}
	if i.Compacted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	prefix, after := r.URL.Query().Get(wire.PrefixParam), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageItems
	list := make([]item, 0, len(keys))
	for _, key := range keys[:min(len(keys), pageItems)] {
		list = append(list, s.items[key])
	}
	at := s.revision
	s.mu.Unlock()
	writeJSON(w, map[string]any{"items": list, "HasMore": more, "AtRev": at})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, 30*time.Second))
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get(wire.PrefixParam)) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "AtRev": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"events": events, "AtRev": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Route is a route of the operators' configuration. Each route has a host of its own.
type Route struct {
	Name, Host, Prefix, Kind, Service string
	TimeoutS, ObjectiveS              float64
	Priority                          int
}

// PutConfig publishes a configuration.
func (s *Store) PutConfig(version uint64, services []string, routes []Route) error {
	var serviceList, hosts []json.RawMessage
	for _, name := range services {
		text, err := fill(wire.Service, map[string]any{"NAME": name})
		if err != nil {
			return err
		}
		serviceList = append(serviceList, text)
	}
	for _, r := range routes {
		text, err := fill(wire.Host, map[string]any{
			"HOST": r.Host, "NAME": r.Name, "PREFIX": r.Prefix, "KIND": r.Kind, "TIMEOUT": r.TimeoutS, "OBJECTIVE": r.ObjectiveS, "PRIORITY": r.Priority,
			"SERVICE": r.Service,
		})
		if err != nil {
			return err
		}
		hosts = append(hosts, text)
	}
	text, err := fill(wire.Config, map[string]any{"VERSION": fmt.Sprintf("%08x", version), "SERVICES": serviceList, "HOSTS": hosts})
	if err == nil {
		s.Put(wire.ConfigKey, text)
	}
	return err
}

// fill replaces the placeholders of a message, strings of a dollar sign and a name, by values.
func fill(message json.RawMessage, values map[string]any) ([]byte, error) {
	text := []byte(message)
	for name, value := range values {
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		text = bytes.ReplaceAll(text, []byte(`"$`+name+`"`), encoded)
	}
	return text, nil
}
