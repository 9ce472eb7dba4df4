package distribution

import (
	"testing"

	"github.com/pkg/errors"
)

func TestDecodeChecksBounds(t *testing.T) {
	big := make([]byte, MaxControlBytes)
	for _, tt := range []struct {
		name string
		m    Message
		want error
	}{
		{"no part", Message{Protocol: 1}, ErrMalformed},
		{"two parts", Message{Ask: &Ask{}, Pull: &Pull{}}, ErrMalformed},
		{"large control message", Message{Notices: []Notice{{Body: big}}}, ErrTooLarge},
		{"long notice", Message{Notices: []Notice{{Body: big[:MaxNoticeBytes+1]}}}, ErrMalformed},
		{"long list", Message{Offer: &Offer{Refer: make([]Address, maxListLen+1)}}, ErrMalformed},
		{"push above the limit of control messages", Message{Push: &Push{Deltas: []Delta{{Packed: big}}}}, nil},
	} {
		data, err := Encode(tt.m)
		if err == nil {
			_, err = Decode(data)
		}
		if !errors.Is(err, tt.want) || (tt.want == nil && err != nil) {
			t.Errorf("%s: %v, want %v", tt.name, err, tt.want)
		}
	}
}

// FuzzDecode checks that no input makes a receiver panic, and that every decoded message can be encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		{Protocol: 1, Heartbeat: &Heartbeat{VersionsHash: 7, IntervalMs: 500}},
		{Protocol: 1, Push: &Push{Deltas: []Delta{{BaseRevision: 1, Packed: []byte{1, 2}}}}},
		{Protocol: 1, Notices: []Notice{{Kind: "leaving", Origin: "x", Sequence: 1, TTLMs: 100}}},
	} {
		data, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(m); err != nil {
			t.Fatalf("encode decoded message: %v", err)
		}
		fl := newFleet(t, 1, 1)
		n := fl.nodes[fl.names[0]]
		n.Step(fl.now, Received{From: Address{Name: fl.names[1], Addr: fl.names[1]}, Message: m})
	})
}
