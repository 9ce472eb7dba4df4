package document

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// MaxDecodedBytes bounds what a compressed delta or chunk may expand to.
const MaxDecodedBytes = 16 << 20

// maxElements bounds the entries of one decoded array.
const maxElements = 1 << 20

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: 16}.DecMode())
	zenc    = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1)))
	zdec    = must(zstd.NewReader(nil, zstd.WithDecoderMaxMemory(MaxDecodedBytes), zstd.WithDecoderConcurrency(1)))
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal encodes v as deterministic CBOR.
func Marshal(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	return b, errors.Wrap(err, "encode CBOR")
}

// Unmarshal decodes bounded CBOR into v.
func Unmarshal(data []byte, v any) error {
	return errors.Wrap(decMode.Unmarshal(data, v), "decode CBOR")
}

// Pack encodes v as deterministic CBOR and compresses it with zstd.
func Pack(v any) ([]byte, error) {
	raw, err := Marshal(v)
	if err != nil {
		return nil, err
	}
	return zenc.EncodeAll(raw, nil), nil
}

// Unpack reverses Pack. It refuses content that expands beyond MaxDecodedBytes.
func Unpack(data []byte, v any) error {
	raw, err := zdec.DecodeAll(data, nil)
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	return Unmarshal(raw, v)
}
