package document

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// MaxDecodedBytes is the maximum decompressed size of a delta or chunk in bytes.
const MaxDecodedBytes = 16 << 20

// maxDecodedElements is the maximum number of elements of a decoded CBOR array or map.
const maxDecodedElements = 1 << 20

var (
	encMode     = must(cbor.CoreDetEncOptions().EncMode())
	decMode     = must(cbor.DecOptions{MaxArrayElements: maxDecodedElements, MaxMapPairs: maxDecodedElements, MaxNestedLevels: 16}.DecMode())
	zstdEncoder = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1)))
	zstdDecoder = must(zstd.NewReader(nil, zstd.WithDecoderMaxMemory(MaxDecodedBytes), zstd.WithDecoderConcurrency(1)))
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal encodes v as deterministic CBOR: equal values give equal bytes.
func Marshal(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	return b, errors.Wrap(err, "encode CBOR")
}

// Unmarshal decodes CBOR into v. Arrays and maps larger than 1<<20 elements and nesting deeper than 16 levels are errors.
func Unmarshal(data []byte, v any) error {
	return errors.Wrap(decMode.Unmarshal(data, v), "decode CBOR")
}

// Pack encodes v as deterministic CBOR and compresses it with zstd.
func Pack(v any) ([]byte, error) {
	raw, err := Marshal(v)
	if err != nil {
		return nil, err
	}
	return zstdEncoder.EncodeAll(raw, nil), nil
}

// Unpack decompresses and decodes data from Pack into v. It returns an error if the content exceeds MaxDecodedBytes.
func Unpack(data []byte, v any) error {
	raw, err := zstdDecoder.DecodeAll(data, nil)
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	return Unmarshal(raw, v)
}
