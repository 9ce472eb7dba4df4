// Package origin is the boundary to the configuration service that the operators publish to. The system only reads it.
package origin

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
)

// Keys of the values that the system reads.
const (
	// ManifestKey holds the manifest of the catalogue (see package catalogue).
	ManifestKey = "catalogue/manifest"
	// ChunkPrefix precedes the hexadecimal digest of a chunk.
	ChunkPrefix = "catalogue/chunk/"
)

// MaxValueBytes is the largest value that the platform holds.
const MaxValueBytes = 1 << 20

// Typed errors of a Source.
var (
	// ErrNotFound says that the key has no value yet; publish it, or wait for the publication to finish.
	ErrNotFound = errors.New("platform holds no such key; publish it or wait until its publication ends")
	// ErrThrottled says that the read budget of the platform is used up; retry after a backoff.
	ErrThrottled = errors.New("platform read budget is used up; retry after a backoff")
	// ErrUnavailable says that the platform can't be reached; serve the snapshot in force and retry after a backoff.
	ErrUnavailable = errors.New("platform is unavailable; serving the snapshot in force, retry after a backoff")
)

// Value is one value with the platform's tag for it. The tag changes whenever the value does; compare it for equality only.
type Value struct {
	Data []byte
	Tag  string
}

// State is the platform's word on an instance.
type State string

// The states of an instance on the platform's list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one entry of the platform's list of instances.
type Instance struct {
	Name          string `json:"name" cbor:"1,keyasint"`
	FailureDomain string `json:"failureDomain" cbor:"2,keyasint"`
	Service       string `json:"service" cbor:"3,keyasint"`
	// PeerAddr is the UDP host:port of the instance's daemon for configuration traffic (QUIC).
	PeerAddr string `json:"peerAddr" cbor:"4,keyasint"`
	// RequestAddr is the host:port on which the instance's admission takes requests from other frontends.
	RequestAddr string `json:"requestAddr" cbor:"5,keyasint"`
	State       State  `json:"state" cbor:"6,keyasint"`
}

// InstanceList is the platform's list for one failure domain. The list lags behind the truth in both directions.
type InstanceList struct {
	FailureDomain string     `json:"failureDomain"`
	Version       uint64     `json:"version"`
	Instances     []Instance `json:"instances"`
}

// Source reads what the platform publishes. Each call, a waiting one too, counts once against the platform's read budget.
// Implementations return ErrNotFound, ErrThrottled or ErrUnavailable (wrapped), or the context's error.
type Source interface {
	// Read returns the current value of key.
	Read(ctx context.Context, key string) (Value, error)
	// Watch returns the value of key as soon as its tag differs from after. An empty after returns the current value.
	Watch(ctx context.Context, key, after string) (Value, error)
	// Instances returns the list of one failure domain as soon as its version exceeds after; 0 returns the current list.
	Instances(ctx context.Context, failureDomain string, after uint64) (InstanceList, error)
}

// InstancesDocument returns the name of the document that holds the instances of a failure domain.
func InstancesDocument(failureDomain string) string {
	return fmt.Sprintf("instances/%s", failureDomain)
}
