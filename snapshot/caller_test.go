package snapshot

import (
	"testing"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/examples"
)

func TestCallersHomeRegionsBoundItsRequests(t *testing.T) {
	cat, err := catalogue.Parse("pikkulusikka.jsonc", examples.Pikkulusikka)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := catalogue.Encode(cat)
	if err != nil {
		t.Fatal(err)
	}
	c, err := Compile(doc)
	if err != nil {
		t.Fatal(err)
	}
	menu := c.Match("GET", "/ruokalista/today") // owned by shop, which may be anywhere
	tests := []struct {
		organisation, region string
		want                 bool
	}{
		{"shop", "pohjoinen", true},
		{"checks", "pohjoinen", true},
		{"care", "etela", true},
		{"care", "pohjoinen", false},
	}
	for _, test := range tests {
		if got := c.ForCaller(menu, test.organisation).Allows(test.region); got != test.want {
			t.Errorf("request of %s in %s: allowed %v, want %v", test.organisation, test.region, got, test.want)
		}
	}
	first := c.ForCaller(menu, "care")
	if c.ForCaller(menu, "care") != first {
		t.Error("one caller's route is not one pointer; choices of targets would be built anew for each request")
	}
	if c.ForCaller(nil, "care") != nil {
		t.Error("no route: want nil")
	}
}
