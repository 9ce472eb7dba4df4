package snapshot

import (
	"testing"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/examples"
)

func TestForCallerAppliesHomeRegionsOfCaller(t *testing.T) {
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
	route := c.Match("GET", "/ruokalista/today") // the owner, shop, has no home regions
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
		if got := c.ForCaller(route, test.organisation).Allows(test.region); got != test.want {
			t.Errorf("request of %s in %s: allowed %v, want %v", test.organisation, test.region, got, test.want)
		}
	}
	first := c.ForCaller(route, "care")
	if c.ForCaller(route, "care") != first {
		t.Error("ForCaller returned two pointers for one caller; target selections could not be reused between requests")
	}
	if c.ForCaller(nil, "care") != nil {
		t.Error("ForCaller of a nil route: want nil")
	}
}
