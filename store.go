// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package granitehoist

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// LeaseID identifies a lease in the platform's store. Empty means no lease.
type LeaseID string

// Entry is the state of one key.
type Entry struct {
	Key string `json:"key"`
	// Value has up to MaxValueSize bytes. It is nil if the key does not exist.
	Value []byte `json:"value,omitempty"`
	// Version is the version of the last write to the key, or zero if the key does not exist.
	Version Version `json:"version"`
	// Deleted marks a deletion, whose version is Version. Only Watch returns entries of
	// deletions.
	Deleted bool `json:"deleted,omitempty"`
}

// Change is one conditional write.
type Change struct {
	Key string `json:"key"`
	// Value is the new value, up to MaxValueSize bytes.
	Value []byte `json:"value,omitempty"`
	// Expect is the version that the key must have; zero means that it must not exist.
	Expect Version `json:"expect"`
	// Lease, unless empty, is the lease with which the key expires.
	Lease LeaseID `json:"lease,omitempty"`
	// Delete deletes the key instead of writing Value.
	Delete bool `json:"delete,omitempty"`
}

// Errors of a Store. After ErrUnknown, or an error that is not listed here, a write may have
// taken effect or may still do so seconds later.
var (
	// ErrConflict means that a key did not have the expected version. The write had no
	// effect.
	ErrConflict = errors.New("store: version conflict")
	// ErrUnavailable means that the store refused the call: it is down, the rate limit was
	// exceeded or the call is not allowed. A write had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrRejected is an ErrUnavailable of a call that the store will not accept later either: it
	// is invalid, or writes a key that is not the system's.
	ErrRejected = fmt.Errorf("%w: rejected", ErrUnavailable)
	// ErrUnknown means that there was no valid response.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrNoLease means that the lease has expired. A write under it had no effect.
	ErrNoLease = errors.New("store: no such lease")
	// ErrHistoryGone means that the store has compacted the changes since the version of
	// a watch. The caller must list the keys again.
	ErrHistoryGone = errors.New("store: history gone")
)

// Conflict is an ErrConflict with the current entries of the keys, if the store returned
// them.
type Conflict struct {
	// Current holds the entries of the write's keys when the write was refused, including
	// the keys that had the expected version.
	Current []Entry
}

// Entry returns the entry of a key when the write was refused, and whether the store
// returned it.
func (c *Conflict) Entry(key string) (Entry, bool) {
	for _, e := range c.Current {
		if e.Key == key {
			return e, true
		}
	}
	return Entry{}, false
}

// Error implements error.
func (c *Conflict) Error() string { return ErrConflict.Error() }

// Unwrap returns ErrConflict.
func (c *Conflict) Unwrap() error { return ErrConflict }

// MaxKeySize is the maximum size of a key in the store, in bytes.
const MaxKeySize = 200

// MaxValueSize is the maximum size of a value in the store, in bytes.
const MaxValueSize = 1 << 20

// MaxChanges is the maximum number of changes in one write.
const MaxChanges = 32

// Store is the platform's key-value store, which holds all durable state of the fleet. The
// platform limits the rate of calls and charges for each. Reads are linearizable: they
// reflect every write that was acknowledged before the call. Implementations are safe for
// concurrent use.
type Store interface {
	// Get returns the entry of a key. For a key that does not exist, it returns an entry
	// with Version 0 and no error.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys begin with prefix, sorted by key, and the
	// latest version of the store before the read. It is no snapshot: the result may
	// include a concurrent write for one key and not for another.
	List(ctx context.Context, prefix string) ([]Entry, Version, error)
	// CompareAndSwap makes a conditional write and returns the new version of the key.
	// It returns ErrConflict, possibly as a *Conflict, if the version of the key is not
	// change.Expect.
	CompareAndSwap(ctx context.Context, change Change) (Version, error)
	// CompareAndSwapAll atomically makes up to MaxChanges conditional writes to different
	// keys and returns their new common version. It returns ErrConflict, possibly as a
	// *Conflict, if any key does not have the expected version.
	CompareAndSwapAll(ctx context.Context, changes []Change) (Version, error)
	// Watch waits until an entry whose key begins with prefix has a version above after.
	// It returns those entries and the version from which the next watch continues. It
	// returns no entries if nothing changes within wait, or within the client's own limit
	// if that is shorter or wait is zero. It returns ErrHistoryGone if the store no longer
	// has all changes since after. Callers must begin with the version of a List;
	// otherwise they may miss keys.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Entry, Version, error)
	// GrantLease grants a lease that expires unless it is renewed within ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease to its full ttl from now. It returns ErrNoLease if the
	// lease has expired.
	RenewLease(ctx context.Context, id LeaseID) error
}

// Platform provides the platform's list of boxes, which may be seconds old. Implementations
// are safe for concurrent use.
type Platform interface {
	// Boxes returns the listed boxes; the value is true for a box that is leaving. After
	// an error the state of all boxes is unknown.
	Boxes(ctx context.Context) (map[Box]bool, error)
}

// Peer is another router.
type Peer struct {
	Incarnation Incarnation
	// Address is the router's address for calls of other routers.
	Address string
}

// Caller sends one message to another router and waits for the response.
// Implementations are safe for concurrent use.
type Caller interface {
	// Call calls method with params and decodes the response into result, a pointer. A
	// receiver of another incarnation refuses the call without effect. After any other
	// error the call may have taken effect.
	Call(ctx context.Context, to Peer, method string, params, result any) error
}

// Clock returns the current time. Decision logic takes the time as an argument; only its
// callers read a Clock.
type Clock func() time.Time
