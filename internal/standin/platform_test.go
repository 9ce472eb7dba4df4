package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/origin"
)

func mustPut(t *testing.T, p *Platform, key, value string) {
	t.Helper()
	if err := p.Put(key, []byte(value)); err != nil {
		t.Fatal(err)
	}
}

func TestPlatformOverHTTP(t *testing.T) {
	p := NewPlatform(PlatformConfig{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	src, err := origin.NewHTTP(server.URL, server.Client())
	if err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	if _, err := src.Read(ctx, "a/b c"); !errors.Is(err, origin.ErrNotFound) {
		t.Fatalf("missing key: %v", err)
	}
	mustPut(t, p, "a/b c", "one")
	first, err := src.Read(ctx, "a/b c")
	if err != nil || string(first.Data) != "one" {
		t.Fatalf("read: %q %v", first.Data, err)
	}
	got := make(chan origin.Value, 1)
	go func() {
		v, _ := src.Watch(ctx, "a/b c", first.Tag)
		got <- v
	}()
	mustPut(t, p, "a/b c", "two")
	if v := <-got; string(v.Data) != "two" || v.Tag == first.Tag {
		t.Fatalf("watch: %+v", v)
	}
	p.PutInstance(origin.Instance{
		Name: "i1", FailureDomain: "d", Service: "s", PeerAddr: "192.0.2.1:1", RequestAddr: "192.0.2.1:2", State: origin.Live,
	})
	list, err := src.Instances(ctx, "d", 0)
	if err != nil || list.Version != 1 || len(list.Instances) != 1 {
		t.Fatalf("instances: %+v %v", list, err)
	}
	p.SetOutage(true)
	if _, err := src.Read(ctx, "a/b c"); !errors.Is(err, origin.ErrUnavailable) {
		t.Fatalf("outage: %v", err)
	}
}

func TestHTTPMapsStatusAndBoundsSizes(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   []byte
		want   error
	}{
		{"throttled", http.StatusTooManyRequests, nil, origin.ErrThrottled},
		{"absent", http.StatusNotFound, nil, origin.ErrNotFound},
		{"broken", http.StatusInternalServerError, nil, origin.ErrUnavailable},
		{"oversized", http.StatusOK, bytes.Repeat([]byte{1}, origin.MaxValueBytes+1), origin.ErrUnavailable},
		{"largest", http.StatusOK, bytes.Repeat([]byte{1}, origin.MaxValueBytes), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write(c.body)
			}))
			defer server.Close()
			src, err := origin.NewHTTP(server.URL, server.Client())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := src.Read(context.Background(), "k"); !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
	if _, err := origin.NewHTTP("192.0.2.7:8500", nil); err == nil {
		t.Fatal("accepted a URL without a scheme")
	}
}

func TestStalePlatformServesOldState(t *testing.T) {
	ctx := context.Background()
	p := NewPlatform(PlatformConfig{})
	mustPut(t, p, "k", "one")
	mustPut(t, p, "k", "two")
	p.SetStale(1)
	mustPut(t, p, "k", "three")
	if v, _ := p.Read(ctx, "k"); string(v.Data) != "one" {
		t.Fatalf("stale read gave %q", v.Data)
	}
	p.SetStale(-1)
	if v, _ := p.Read(ctx, "k"); string(v.Data) != "three" {
		t.Fatalf("read gave %q", v.Data)
	}
}

func TestPlatformBudgetAndLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		p := NewPlatform(PlatformConfig{ReadsPerSecond: 2, Delay: 3 * time.Millisecond, InstanceLag: 5 * time.Second})
		mustPut(t, p, "k", "one")
		for i, want := range []error{nil, nil, origin.ErrThrottled} {
			if _, err := p.Read(ctx, "k"); !errors.Is(err, want) {
				t.Fatalf("read %d: %v, want %v", i, err, want)
			}
		}
		time.Sleep(time.Second)
		p.PutInstance(origin.Instance{Name: "i1", FailureDomain: "d"})
		if _, err := p.Instances(ctx, "d", 0); !errors.Is(err, origin.ErrNotFound) {
			t.Fatalf("list before the lag: %v, want ErrNotFound", err)
		}
		time.Sleep(6 * time.Second)
		if list, err := p.Instances(ctx, "d", 0); err != nil || len(list.Instances) != 1 {
			t.Fatalf("list after the lag: %+v %v", list, err)
		}
		if reads := p.Reads(); reads.Total != 5 || reads.Throttled != 1 || reads.Peak != 3 {
			t.Fatalf("counts %+v", reads)
		}
	})
}

func TestListsShowChangesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPlatform(PlatformConfig{InstanceLag: time.Second})
		const count = 50
		for i := range count {
			p.PutInstance(origin.Instance{Name: strconv.Itoa(i), FailureDomain: "d"})
		}
		time.Sleep(2 * time.Second)
		if list, err := p.Instances(context.Background(), "d", 0); err != nil || len(list.Instances) != count {
			t.Fatalf("list shows %d of %d: %v", len(list.Instances), count, err)
		}
	})
}

func TestPublishCatalogueStoresAllChunks(t *testing.T) {
	p := NewPlatform(PlatformConfig{})
	version, err := p.PublishCatalogue(&catalogue.Catalogue{Revision: 3, Organisations: []catalogue.Organisation{{Name: "a", Share: 1}}})
	if err != nil || version.Revision != 3 {
		t.Fatalf("%v %v", version, err)
	}
	var missing int
	m := readManifest(t, p)
	for _, digest := range m.Chunks {
		if _, err := p.Read(context.Background(), origin.ChunkPrefix+digest.String()); err != nil {
			missing++
		}
	}
	if missing > 0 || m.Version() != version {
		t.Fatalf("%d chunks missing, manifest %v", missing, m.Version())
	}
}

func readManifest(t *testing.T, p *Platform) catalogue.Manifest {
	t.Helper()
	v, err := p.Read(context.Background(), origin.ManifestKey)
	if err != nil {
		t.Fatal(err)
	}
	var m catalogue.Manifest
	if err := json.Unmarshal(v.Data, &m); err != nil {
		t.Fatal(err)
	}
	return m
}
