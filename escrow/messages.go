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
	// Need is what one request lacks, Want what would serve for a while.
	Need granitehoist.Tokens `json:"need"`
	Want granitehoist.Tokens `json:"want"`
	// Rate is what the borrower spends in tokens a second.
	Rate granitehoist.Tokens `json:"rate"`
	// Idle is what the borrower owns beside its requests.
	Idle granitehoist.Tokens `json:"idle,omitempty"`
}

// LendResult tells the sum of all loans of the lender to the borrower. It only
// grows, so that a reply which is lost is made good by the next one.
type LendResult struct {
	Total granitehoist.Tokens `json:"total"`
	// InTouch says that the store answered the lender a short while ago.
	// The others then tell what it knows: what is left in the store, what is
	// left there and idle anywhere, and what the fleet spends a second.
	InTouch        bool                `json:"in_touch,omitempty"`
	StoreRemaining granitehoist.Tokens `json:"rest,omitempty"`
	LeftAnywhere   granitehoist.Tokens `json:"left,omitempty"`
	FleetRate      granitehoist.Tokens `json:"rate,omitempty"`
}

// MethodRepay gives tokens to a neighbour that did not ask for them.
const MethodRepay = "escrow.repay"

// RepayParams tells the sum of all that the giver has lent or given to the
// receiver.
type RepayParams struct {
	Giver     granitehoist.Incarnation `json:"giver"`
	Workspace granitehoist.Workspace   `json:"workspace"`
	Total     granitehoist.Tokens      `json:"total"`
}
