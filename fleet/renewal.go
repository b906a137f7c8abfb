// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet

import (
	"errors"

	"granitehoist.example/granitehoist"
)

// renewalResult is the action that a refresh takes for the router's entry.
type renewalResult int

// The results of a renewal.
const (
	// entryCurrent means that the lease was renewed and the entry has not changed.
	entryCurrent renewalResult = iota
	// needsWrite means that the lease was renewed and the entry has changed.
	needsWrite
	// needsLease means that there is no lease, or that it has expired and the store has
	// deleted the entry. A new lease is granted and the entry written under it.
	needsLease
	// renewalFailed means that the store rejected the renewal or did not respond. The lease
	// may still exist, so the next refresh renews the lease instead of obtaining another one.
	renewalFailed
)

// classifyRenewal returns the action after an attempt to renew the lease. err is the error of
// the attempt; changed says that the entry differs from the one last written.
func classifyRenewal(err error, changed bool) renewalResult {
	switch {
	case errors.Is(err, granitehoist.ErrNoLease):
		return needsLease
	case err != nil:
		return renewalFailed
	case changed:
		return needsWrite
	default:
		return entryCurrent
	}
}
