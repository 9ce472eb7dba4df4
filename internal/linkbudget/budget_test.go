package linkbudget

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/linkshare"
	"github.com/chervilwell/chervilwell/origin"
	"github.com/chervilwell/chervilwell/snapshot"
)

const linkRate = 80_000

// loopbackPeers connects the budgets of several instances within the process, unless disconnected.
type loopbackPeers struct {
	from         string
	budgets      map[string]*Budget
	disconnected bool
}

func (p *loopbackPeers) Post(_ context.Context, to origin.Instance, _ string, body []byte) ([]byte, error) {
	if p.disconnected {
		return nil, errors.New("peer is disconnected")
	}
	return nil, p.budgets[to.Name].HandleMessage(body, p.from)
}

func holder(t *testing.T, names ...string) *snapshot.Holder {
	t.Helper()
	limits := catalogue.ServiceLimits{
		Slots: 1, Connections: 2, Queue: 1, ColdSlots: 1, ColdPeriod: catalogue.Duration(time.Second), Drain: catalogue.Duration(time.Second),
	}
	doc, err := catalogue.Encode(&catalogue.Catalogue{
		Revision: 1,
		Organisations: []catalogue.Organisation{
			{Name: "haulier-a", Share: 0.5, LinkShare: 0.5}, {Name: "haulier-b", Share: 0.5},
		},
		Regions: []catalogue.Region{
			{Name: "obb", FailureDomains: []catalogue.FailureDomain{{Name: "obb-muc", State: catalogue.InService}}},
			{Name: "nbb", FailureDomains: []catalogue.FailureDomain{{Name: "nbb-la", State: catalogue.InService}}},
		},
		Links:    []catalogue.Link{{Between: [2]string{"obb", "nbb"}, BytesPerSecond: linkRate}},
		Services: []catalogue.Service{{Name: "depot", Owner: "haulier-a", Class: catalogue.Interactive, Limits: limits}},
	})
	if err != nil {
		t.Fatal(err)
	}
	list := origin.InstanceList{FailureDomain: "obb-muc", Version: 1}
	for _, name := range names {
		list.Instances = append(list.Instances, origin.Instance{Name: name, FailureDomain: "obb-muc", Service: "depot", State: origin.Live})
	}
	instances, err := snapshot.EncodeInstances(list)
	if err != nil {
		t.Fatal(err)
	}
	endpoints, err := snapshot.CompileEndpoints([]*document.Document{instances})
	if err != nil {
		t.Fatal(err)
	}
	h := snapshot.NewHolder()
	h.SetEndpoints(endpoints)
	if err := h.Accept(doc); err != nil {
		t.Fatal(err)
	}
	return h
}

// spendGreedily runs four instances for the duration d. One spends all tokens it gets; its bytes are returned.
func spendGreedily(t *testing.T, disconnected bool, d time.Duration) int64 {
	names := []string{"obb-muc-1", "obb-muc-2", "obb-muc-3", "obb-muc-4"}
	h := holder(t, names...)
	ctx, cancel := context.WithCancel(context.Background())
	budgets := map[string]*Budget{}
	var running sync.WaitGroup
	for _, name := range names {
		budgets[name] = New(Config{Instance: name, FailureDomain: "obb-muc", Holder: h, Peers: &loopbackPeers{from: name, budgets: budgets, disconnected: disconnected}})
	}
	for _, b := range budgets {
		running.Go(func() { _ = b.Serve(ctx) })
	}
	time.Sleep(2 * linkshare.Interval)
	end, stop := context.WithTimeout(ctx, d)
	defer stop()
	const piece = 1000
	var spent int64
	for budgets["obb-muc-1"].Spend(end, "nbb", "haulier-a", piece) == nil {
		spent += piece
	}
	cancel()
	running.Wait()
	return spent
}

func TestUnusedAllocationsAreLentWithinTheShare(t *testing.T) {
	const d = time.Minute
	const share = linkRate / 2
	synctest.Test(t, func(t *testing.T) {
		withoutLoans := spendGreedily(t, true, d)
		if most := int64(share / 4 * (d + linkshare.Burst).Seconds()); withoutLoans > most || withoutLoans < most/2 {
			t.Errorf("disconnected, the instance spent %d bytes, its allocation is %d", withoutLoans, most)
		}
		withLoans := spendGreedily(t, false, d)
		if most := int64(share * (d + linkshare.Burst).Seconds()); withLoans > most {
			t.Errorf("spent %d bytes, the organisation's share is %d", withLoans, most)
		}
		if withLoans < 2*withoutLoans {
			t.Errorf("spent %d bytes with the unused allocations of three others, %d without", withLoans, withoutLoans)
		}
	})
}

func TestUnlimitedTraffic(t *testing.T) {
	b := New(Config{Instance: "obb-muc-1", FailureDomain: "obb-muc", Holder: holder(t, "obb-muc-1")})
	b.exchange(context.Background())
	const manyBytes = 1 << 40
	if !b.TrySpend("obb", "haulier-a", manyBytes) || !b.TrySpend("nbb", "haulier-b", manyBytes) || !(*Budget)(nil).TrySpend("nbb", "haulier-a", manyBytes) {
		t.Fatal("the local region, an organisation without a share or no budget was limited")
	}
	if b.TrySpend("nbb", "haulier-a", manyBytes) {
		t.Fatal("a share was exceeded")
	}
}

func TestMessageFromWrongSenderIsRejected(t *testing.T) {
	b := New(Config{Instance: "obb-muc-1", FailureDomain: "obb-muc", Holder: holder(t, "obb-muc-1")})
	body, err := document.Marshal(message{Loans: []linkshare.Loan{{From: "obb-muc-2", To: "obb-muc-1"}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := b.HandleMessage(body, "obb-muc-3"); !errors.Is(err, ErrWrongSender) {
		t.Fatalf("got %v", err)
	}
}
