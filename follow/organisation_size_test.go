package follow

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
)

// organisationsEntry returns an entry of n organisations with two keys each, in the form of the store.
func organisationsEntry(n int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	key := func() string { return fmt.Sprintf("%010x%010x", rng.Uint64N(1<<40), rng.Uint64N(1<<40)) }
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"name":"organisation%d","keys":["%s","%s"],"priority":1,"rate":%d,"burst":%d,"regions":[]},`, i, key(), key(), 7+i%200, 7+i%200)
	}
	return b.Bytes()
}

// Reports what organisations add to an entry, to a full state and to the patch for one key that is taken away, in bytes.
func BenchmarkOrganisationSizes(b *testing.B) {
	for _, n := range []int{81, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			entry := organisationsEntry(n)
			at := bytes.Index(entry[len(entry)/2:], []byte(`"keys":["`)) + len(entry)/2 + len(`"keys":["`)
			without := append(append([]byte(nil), entry[:at]...), entry[at+len(`12345678901234567890","`):]...)
			var patch []byte
			for range b.N {
				data, err := cbor.Marshal(diff(entry, without))
				if err != nil {
					b.Fatal(err)
				}
				patch = data
			}
			b.ReportMetric(float64(len(entry)), "entry-bytes")
			b.ReportMetric(float64(len(s2.Encode(nil, entry))), "full-state-bytes")
			b.ReportMetric(float64(len(patch)), "patch-bytes")
		})
	}
}
