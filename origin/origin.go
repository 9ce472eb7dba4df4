// Package origin reads the configuration that operators publish to the platform. It never writes to the platform.
package origin

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
)

// Keys of the values that are read.
const (
	// ManifestKey is the key of the catalogue's manifest (see package catalogue).
	ManifestKey = "catalogue/manifest"
	// ChunkPrefix is the key prefix of a chunk; the hexadecimal digest of the chunk follows.
	ChunkPrefix = "catalogue/chunk/"
)

// MaxValueBytes is the size limit of a value on the platform, in bytes.
const MaxValueBytes = 1 << 20

// Errors returned by a Source.
var (
	// ErrNotFound is returned if the key has no value: it was not published, or its publication has not finished.
	ErrNotFound = errors.New("platform has no value for the key; publish it or wait until its publication has finished")
	// ErrThrottled is returned if the read budget of the platform is exhausted. Retry after a back-off.
	ErrThrottled = errors.New("platform read budget is exhausted; retry after a back-off")
	// ErrUnavailable is returned if the platform cannot be reached or returns an invalid response. Continue with the snapshot
	// in force and retry after a back-off.
	ErrUnavailable = errors.New("platform is unavailable; the snapshot in force stays in use, retry after a back-off")
)

// Value is a value and its tag. The tag changes whenever the value does; it is opaque and may be compared only for equality.
type Value struct {
	Data []byte
	Tag  string
}

// State is the state of an instance on the platform's list.
type State string

// States of an instance. A Leaving instance is about to stop.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is an entry of the platform's list of instances.
type Instance struct {
	Name          string `json:"name" cbor:"1,keyasint"`
	FailureDomain string `json:"failureDomain" cbor:"2,keyasint"`
	Service       string `json:"service" cbor:"3,keyasint"`
	// PeerAddr is the UDP host:port of the instance's daemon for configuration traffic (QUIC).
	PeerAddr string `json:"peerAddr" cbor:"4,keyasint"`
	// RequestAddr is the host:port at which the instance accepts requests from other frontends.
	RequestAddr string `json:"requestAddr" cbor:"5,keyasint"`
	State       State  `json:"state" cbor:"6,keyasint"`
}

// InstanceList is the list of instances of one failure domain. The list lags behind the actual state: it may contain instances
// that have stopped and lack instances that run.
type InstanceList struct {
	FailureDomain string     `json:"failureDomain"`
	Version       uint64     `json:"version"`
	Instances     []Instance `json:"instances"`
}

// Source reads values and instance lists from the platform. Each call, including one that waits, counts once against the
// platform's read budget. Methods return ErrNotFound, ErrThrottled or ErrUnavailable (wrapped), or the error of the context.
type Source interface {
	// Read returns the current value of key.
	Read(ctx context.Context, key string) (Value, error)
	// Watch returns the value of key once its tag differs from after. If after is empty it returns the current value.
	Watch(ctx context.Context, key, after string) (Value, error)
	// Instances returns the list of a failure domain once its version exceeds after. If after is 0 it returns the current
	// list.
	Instances(ctx context.Context, failureDomain string, after uint64) (InstanceList, error)
}

// InstancesDocument returns the name of the document that contains the instances of a failure domain.
func InstancesDocument(failureDomain string) string {
	return fmt.Sprintf("instances/%s", failureDomain)
}
