// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Role is what a router does for the tokens of one workspace. Correctness never
// depends on it: routers that disagree about roles cost each other a call, never a
// token, since a token is only spent where it is owned.
type Role int

const (
	// Shares is the role of every router of a small fleet: it takes tokens from the
	// record for its own requests.
	Shares Role = iota
	// Holds is the role of the few routers of a large fleet that take a
	// workspace's tokens from the record for the requests of all, and lend them.
	Holds
	// Asks is the role of the others: they own no tokens but those of requests in
	// progress, and pay each request from a loan of a holder.
	Asks
)

const (
	// HoldersPerWorkspace is the number of routers that hold a workspace's tokens
	// for a large fleet: the least of which one may die without the others having
	// to read the record first. Chosen, not measured.
	HoldersPerWorkspace = 2
	// standInTime is how long a router that was asked in place of holders goes on
	// as one after the last such call. Chosen, not measured: twice the time after
	// which a holder that did not answer is asked again (avoidTime).
	standInTime = 3 * time.Second
)

// Lender is a neighbour that may lend a workspace's tokens.
type Lender struct {
	granitehoist.Peer
	// StandsIn says that it is no holder, and is asked in place of holders that
	// did not help.
	StandsIn bool
}

// role returns this router's role for a workspace: that of a holder while it stands
// in for one. The caller holds mu.
func (l *Ledger) role(w granitehoist.Workspace, a *account, now time.Time) Role {
	switch {
	case now.Before(a.standsInUntil):
		return Holds
	case l.settings.Role == nil:
		return Shares
	}
	return l.settings.Role(w)
}

// Role returns this router's role for a workspace.
func (l *Ledger) Role(w granitehoist.Workspace, now time.Time) Role {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.role(w, l.account(w), now)
}

// standIn makes this router a holder of a workspace for standInTime.
func (l *Ledger) standIn(w granitehoist.Workspace, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account(w).standsInUntil = now.Add(standInTime)
}
