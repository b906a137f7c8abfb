// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Role is what a router does for the tokens of one workspace. Correctness does not
// depend on it: routers that disagree about roles only make extra calls, since a token
// is only spent by its owner.
//
// In a large fleet one holder per shard keeps the tokens together, since equal parts at
// hundreds of routers would be too small for most requests.
type Role int

const (
	// RoleDirect is the role of every router of a small fleet: it takes tokens from the
	// record for its own requests.
	RoleDirect Role = iota
	// RoleHolder is the role of the holder in a large fleet: it takes a workspace's tokens
	// from the record for the requests of all routers, and lends them.
	RoleHolder
	// RoleStandIn is the role of a stand-in holder: a borrower that was asked in place of
	// the holder acts as a holder for standInTime, with smaller holdings.
	RoleStandIn
	// RoleBorrower is the role of all other routers of a large fleet. They hold few or no
	// tokens for future requests, and pay for requests with loans of a holder.
	RoleBorrower
	// RoleSubHolder is the role, in each other region than the holder's, of the router that
	// borrows for its region: it keeps batches of what the region spends, and lends them.
	// It uses the record as little as a borrower does.
	RoleSubHolder
)

// standInTime is how long a router remains a stand-in holder after the last call with
// LendParams.StandIn. It exceeds lenderBackoff, after which borrowers call the holder
// again.
const standInTime = 3 * time.Second

// Lender is a neighbour that may lend a workspace's tokens.
type Lender struct {
	granitehoist.Peer
	// IsStandIn is set if the neighbour is called as a stand-in holder.
	IsStandIn bool
	// IsSubHolder is set if the neighbour is called as the sub-holder of this router's
	// region.
	IsSubHolder bool
	// IsFar is set if the neighbour is in another region.
	IsFar bool
}

// isHolder reports whether a router with the role lends to a whole fleet, as a holder or
// a stand-in holder.
func (r Role) isHolder() bool { return r == RoleHolder || r == RoleStandIn }

// lends reports whether other routers depend on the loans of a router with the role.
func (r Role) lends() bool { return r.isHolder() || r == RoleSubHolder }

// borrows reports whether a router with the role gets its tokens from other routers, and
// not from the record.
func (r Role) borrows() bool { return r == RoleBorrower || r == RoleSubHolder }

// role returns this router's role for a workspace. The caller holds mu.
func (l *Ledger) role(w granitehoist.Workspace, a *account, now time.Time) Role {
	if l.settings.Role == nil {
		return RoleDirect
	}
	role := l.settings.Role(ShardOf(w))
	if role.borrows() && now.Before(a.standInUntil) {
		return RoleStandIn
	}
	return role
}

// Role returns this router's role for a workspace.
func (l *Ledger) Role(w granitehoist.Workspace, now time.Time) Role {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.role(w, l.account(w), now)
}

// standIn makes this router a stand-in holder of a workspace for standInTime.
func (l *Ledger) standIn(w granitehoist.Workspace, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(w).standInUntil = now.Add(standInTime)
}
