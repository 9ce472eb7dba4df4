package once_test

import (
	"fmt"
	"time"

	"github.com/chervilwell/chervilwell/once"
)

func Example() {
	now := time.Unix(1_700_000_000, 0)
	seats := []once.Seat{{Instance: "obb-muc-1", Region: "obb"}, {Instance: "obb-ro-1", Region: "obb"}}
	muc := once.New(now, seats[0], once.DefaultLimits)
	ro := once.New(now, seats[1], once.DefaultLimits)
	muc.SetSeats(now, seats)
	ro.SetSeats(now, seats)

	now = now.Add(once.MatureAfter)
	muc.Welcomed(now, ro.Greeted(now, muc.Hello()))
	ro.Welcomed(now, muc.Greeted(now, ro.Hello()))

	now = now.Add(5 * once.MaxSkew)
	key := once.Key{Organisation: "haulier-a", Route: "order", Value: "018bcfe5-8f40-7000-8000-000000000001"}
	first := muc.Submit(now, key, 7, nil)
	if first.Kind == once.Poll {
		first = muc.Count(now, key, ro.Vote(now, first.Ask, nil), nil)
	}
	fmt.Println(first.Kind == once.Run)
	muc.Finish(now, key, []byte("order 17 booked"))

	resend := muc.Submit(now, key, 7, nil)
	fmt.Println(string(resend.Answer))
	// Output:
	// true
	// order 17 booked
}
