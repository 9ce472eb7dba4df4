package once_test

import (
	"fmt"
	"time"

	"github.com/chervilwell/chervilwell/once"
)

func Example() {
	now := time.Unix(1_700_000_000, 0)
	voters := []once.Voter{{Instance: "obb-muc-1", Region: "obb"}, {Instance: "obb-ro-1", Region: "obb"}}
	muc := once.New(now, voters[0], once.DefaultLimits)
	ro := once.New(now, voters[1], once.DefaultLimits)
	muc.SetVoters(now, voters)
	ro.SetVoters(now, voters)

	now = now.Add(once.MatureAfter)
	muc.HandleAnnouncementReply(now, ro.HandleAnnouncement(now, muc.Announcement()))
	ro.HandleAnnouncementReply(now, muc.HandleAnnouncement(now, ro.Announcement()))

	now = now.Add(5 * once.MaxClockSkew)
	key := once.Key{Organisation: "haulier-a", Route: "order", Value: "018bcfe5-8f40-7000-8000-000000000001"}
	first := muc.Submit(now, key, 7, nil)
	if first.Kind == once.Poll {
		first = muc.HandleVote(now, key, ro.Vote(now, first.VoteRequest, nil), nil)
	}
	fmt.Println(first.Kind == once.Run)
	muc.Finish(now, key, []byte("order 17 booked"))

	resend := muc.Submit(now, key, 7, nil)
	fmt.Println(string(resend.Response))
	// Output:
	// true
	// order 17 booked
}
