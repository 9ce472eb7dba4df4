package snapshot_test

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/examples"
	"github.com/chervilwell/chervilwell/snapshot"
)

func Example() {
	first, err := catalogue.Parse("streusalz.jsonc", examples.Streusalz)
	if err != nil {
		fmt.Println(err)
		return
	}
	second, _ := first.WithDomainState("obb-ro", catalogue.OutOfService)
	holder := snapshot.NewHolder()
	for _, c := range []*catalogue.Catalogue{first, second, first} {
		doc, err := catalogue.Encode(c)
		if err != nil {
			fmt.Println(err)
			return
		}
		if err := holder.Accept(doc); errors.Is(err, snapshot.ErrOlder) {
			fmt.Println("refused revision", doc.Revision())
		}
	}
	config := holder.Load().Config
	fmt.Println("in force:", config.Version().Revision, config.DomainInService("obb-ro"), config.Match("GET", "/lagerstand/depot/7").Name)
	// Output:
	// refused revision 1
	// in force: 2 false stock-view
}
