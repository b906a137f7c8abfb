// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// MethodLend requests a loan from a neighbour.
const MethodLend = "escrow.lend"

// LendParams requests tokens for waiting requests of the borrower.
type LendParams struct {
	Borrower  granitehoist.Incarnation `json:"borrower"`
	Workspace granitehoist.Workspace   `json:"workspace"`
	// Need is the smallest number of tokens that helps the borrower, usually what one
	// request lacks. Want is the number requested; the excess over Need is for other
	// requests.
	Need granitehoist.Tokens `json:"need"`
	Want granitehoist.Tokens `json:"want"`
	// StandIn asks the receiver to act as a stand-in holder of the workspace for
	// standInTime, since the holder did not help.
	StandIn bool `json:"stand_in,omitempty"`
}

// LendResult is a lender's response. Some JSON names are older than the names of the
// fields and stay for compatibility.
type LendResult struct {
	// Total is the sum of all loans of the lender to the borrower. It only grows, so
	// that the next response makes up for a lost one.
	Total granitehoist.Tokens `json:"total"`
	// StoreConnected is set if the lender has read the record and the store responded to
	// it within connectedTime. If not, StoreRemaining and TotalRemaining are zero.
	StoreConnected bool `json:"in_touch,omitempty"`
	// StoreRemaining is what the store had left when the lender last read the record.
	StoreRemaining granitehoist.Tokens `json:"rest,omitempty"`
	// TotalRemaining is StoreRemaining plus the lender's unreserved tokens plus Row.Idle
	// of the routers other than the lender.
	TotalRemaining granitehoist.Tokens `json:"left,omitempty"`
	// Age is the age of the two amounts, in nanoseconds: zero at a router that reads the
	// record, and the age of its holder's response at a sub-holder.
	Age time.Duration `json:"age,omitempty"`
}

// MethodRepay transfers tokens to a neighbour that did not request them.
const MethodRepay = "escrow.repay"

// RepayParams transfers tokens to the receiver. The JSON name giver stays for
// compatibility.
type RepayParams struct {
	Sender    granitehoist.Incarnation `json:"giver"`
	Workspace granitehoist.Workspace   `json:"workspace"`
	// Total is the sum of all tokens that the sender has lent or transferred to the
	// receiver. It only grows. Zero transfers nothing and only asks whether the receiver
	// accepts tokens.
	Total granitehoist.Tokens `json:"total"`
}
