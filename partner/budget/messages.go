// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import "granitehoist.example/granitehoist"

// Totals is what an incarnation reports of one budget. Each total only grows.
type Totals struct {
	// Granted is the total it has received from its region's page.
	Granted granitehoist.Tokens `json:"g,omitempty"`
	// Returned is the total it has given back to the page.
	Returned granitehoist.Tokens `json:"r,omitempty"`
	// Spent is the total it has charged.
	Spent granitehoist.Tokens `json:"s,omitempty"`
	// Lent and Borrowed are the totals given to and received from other boxes.
	Lent     granitehoist.Tokens `json:"l,omitempty"`
	Borrowed granitehoist.Tokens `json:"b,omitempty"`
}

// Held returns the tokens that the incarnation has, reserved ones included.
func (t Totals) Held() granitehoist.Tokens {
	return t.Granted - t.Returned - t.Spent - t.Lent + t.Borrowed
}

// merge returns the larger of each total.
func (t Totals) merge(u Totals) Totals {
	return Totals{
		Granted:  max(t.Granted, u.Granted),
		Returned: max(t.Returned, u.Returned),
		Spent:    max(t.Spent, u.Spent),
		Lent:     max(t.Lent, u.Lent),
		Borrowed: max(t.Borrowed, u.Borrowed),
	}
}

// Ask is what a box reports to the Keeper of its region about one budget, and
// what it asks for. Amounts asked for are totals, so a doubled Ask is granted once.
type Ask struct {
	Budget granitehoist.BudgetID `json:"k"`
	// Totals is the box's own record.
	Totals Totals `json:"t"`
	// Want is the total grant that the box asks for, Need the part of it that
	// requests wait for, and Least the part of Need that lets the smallest of
	// them run.
	Want  granitehoist.Tokens `json:"w"`
	Need  granitehoist.Tokens `json:"n"`
	Least granitehoist.Tokens `json:"y"`
	// Rate is the forecast in tokens a second, and Largest the largest bound
	// of a request seen.
	Rate    float64             `json:"f"`
	Largest granitehoist.Tokens `json:"m"`
}

// SyncParams is the message of a box to the Keeper.
type SyncParams struct {
	Box         granitehoist.Box         `json:"box"`
	Incarnation granitehoist.Incarnation `json:"incarnation"`
	Asks        []Ask                    `json:"asks"`
	// Urgent says that requests wait for the answer.
	Urgent bool `json:"urgent,omitempty"`
	// Closing says that the box stops and that its asks return all that it holds.
	Closing bool `json:"closing,omitempty"`
}

// Reply is the Keeper's answer about one budget.
type Reply struct {
	Budget granitehoist.BudgetID `json:"k"`
	// Granted is the total that the page has granted to the incarnation.
	Granted granitehoist.Tokens `json:"g"`
	// Target is what the box should hold; it returns what is beyond.
	Target granitehoist.Tokens `json:"t"`
	// Left is what the whole budget has left by the last reports of its holders.
	// It is never less than what the box could still get.
	Left granitehoist.Tokens `json:"x"`
	// Lenders names the incarnations of the region that hold most, if the grant
	// does not cover the need.
	Lenders []granitehoist.Incarnation `json:"b,omitempty"`
}

// SyncResult is the Keeper's answer to a box.
type SyncResult struct {
	Replies []Reply `json:"replies"`
	// Unknown says that the page refuses the incarnation's message, as
	// ErrUnknownIncarnation does.
	Unknown bool `json:"unknown,omitempty"`
}

// BorrowParams asks another box of the region to lend.
type BorrowParams struct {
	Incarnation granitehoist.Incarnation `json:"incarnation"`
	Budget      granitehoist.BudgetID    `json:"k"`
	// Known is the total that the asker has seen from this lender, and Want
	// the total that it asks for.
	Known granitehoist.Tokens `json:"known"`
	Want  granitehoist.Tokens `json:"want"`
}

// BorrowResult is the total that the lender has ever lent to the asker.
type BorrowResult struct {
	Incarnation granitehoist.Incarnation `json:"incarnation"`
	Total       granitehoist.Tokens      `json:"total"`
}

// The methods of the messages between routers.
const (
	// MethodSync carries a ShardSync to a keeper and its SyncResult back.
	MethodSync = "budget.sync"
	// MethodBorrow carries BorrowParams to a lender and its BorrowResult back.
	MethodBorrow = "budget.borrow"
)
