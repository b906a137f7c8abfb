// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"granitehoist.example/granitehoist"
)

// MethodLend asks a neighbour for a loan.
const MethodLend = "escrow.lend"

// LendParams asks for tokens that requests of the borrower wait for.
type LendParams struct {
	Borrower  granitehoist.Incarnation `json:"borrower"`
	Workspace granitehoist.Workspace   `json:"workspace"`
	// Need is what one request lacks, Want what would serve for a while, in tokens.
	Need granitehoist.Tokens `json:"need"`
	Want granitehoist.Tokens `json:"want"`
	// StandIn asks the receiver to act as a holder of the workspace for a while,
	// since the holders did not help.
	StandIn bool `json:"stand_in,omitempty"`
}

// LendResult is a lender's reply.
type LendResult struct {
	// Total is the sum of all loans of the lender to the borrower. It only grows,
	// so that the next reply makes up for one that was lost.
	Total granitehoist.Tokens `json:"total"`
	// InTouch says that the store answered the lender within inTouchTime. The
	// fields below are zero without it.
	InTouch bool `json:"in_touch,omitempty"`
	// StoreRemaining is what the store had left when the lender last read the
	// record.
	StoreRemaining granitehoist.Tokens `json:"rest,omitempty"`
	// LeftAnywhere is the same and what is idle at all routers but the borrower.
	LeftAnywhere granitehoist.Tokens `json:"left,omitempty"`
}

// MethodRepay gives tokens to a neighbour that did not ask for them.
const MethodRepay = "escrow.repay"

// RepayParams gives tokens to the receiver.
type RepayParams struct {
	Giver     granitehoist.Incarnation `json:"giver"`
	Workspace granitehoist.Workspace   `json:"workspace"`
	// Total is the sum of all that the giver has lent or given to the receiver. It
	// only grows. Zero gives nothing and only asks whether the receiver would take
	// tokens.
	Total granitehoist.Tokens `json:"total"`
}
