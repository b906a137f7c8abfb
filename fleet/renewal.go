// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet

import (
	"errors"

	"granitehoist.example/granitehoist"
)

// renewal is what a refresh does about the router's own entry.
type renewal int

// The verdicts on an entry.
const (
	// entryUnchanged: the lease was renewed, and the entry is as last written.
	entryUnchanged renewal = iota
	// needsWrite: the lease was renewed, but the entry has changed.
	needsWrite
	// needsLease: there is no lease, or it has ended and the store deleted the
	// entry with it. A new lease is granted and the entry written under it.
	needsLease
	// renewalFailed: the store did not answer, or refused. The lease may still
	// exist, so that no other is granted; the next refresh renews it again.
	renewalFailed
)

// decideRenewal decides what follows from an attempt to renew the lease: err is
// its error, changed says that the entry differs from what was last written.
func decideRenewal(err error, changed bool) renewal {
	switch {
	case errors.Is(err, granitehoist.ErrNoLease):
		return needsLease
	case err != nil:
		return renewalFailed
	case changed:
		return needsWrite
	default:
		return entryUnchanged
	}
}
