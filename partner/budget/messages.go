// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import "granitehoist.example/granitehoist"

// Totals are the running totals of an incarnation for one budget. They only grow.
type Totals struct {
	// Granted is the total received from the region.
	Granted granitehoist.Tokens `json:"g,omitempty"`
	// Returned is the total returned to the region.
	Returned granitehoist.Tokens `json:"r,omitempty"`
	// Spent is the total charged.
	Spent granitehoist.Tokens `json:"s,omitempty"`
	// Lent and Borrowed are the totals sent to and received from other boxes.
	Lent     granitehoist.Tokens `json:"l,omitempty"`
	Borrowed granitehoist.Tokens `json:"b,omitempty"`
}

// Held returns the tokens that the incarnation has, including reserved tokens.
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

// Report is a box's report of one budget to its region's Allocator, and its demand.
// Demands are totals, so a duplicated Report is granted once.
type Report struct {
	Budget granitehoist.BudgetID `json:"k"`
	// Totals are the box's own totals.
	Totals Totals `json:"t"`
	// Want, Need and Least are totals that include the earlier grants. Want is all that
	// the box asks for. Need is enough for all waiting requests. Least is enough for the
	// smallest waiting request.
	Want  granitehoist.Tokens `json:"w"`
	Need  granitehoist.Tokens `json:"n"`
	Least granitehoist.Tokens `json:"y"`
	// Rate is the forecast spending rate in tokens per second. Largest is the largest
	// maximum cost of a request so far.
	Rate    float64             `json:"f"`
	Largest granitehoist.Tokens `json:"m"`
}

// SyncParams is the message of a box to an Allocator.
type SyncParams struct {
	Box         granitehoist.Box         `json:"box"`
	Incarnation granitehoist.Incarnation `json:"incarnation"`
	Reports     []Report                 `json:"asks"`
	// Urgent means that the Allocator should not delay the message to share a write, since
	// requests may wait for the response or the box is closing.
	Urgent bool `json:"urgent,omitempty"`
	// Closing means that the box is stopping and that its reports return all it holds.
	Closing bool `json:"closing,omitempty"`
}

// Reply is the Allocator's reply to the report of one budget.
type Reply struct {
	Budget granitehoist.BudgetID `json:"k"`
	// Granted is the total granted to the incarnation.
	Granted granitehoist.Tokens `json:"g"`
	// Target is the number of tokens that the box should hold. The box returns free tokens
	// beyond Target.
	Target granitehoist.Tokens `json:"t"`
	// Remaining is the number of tokens that the whole budget has left and that are not in
	// doubt, according to the last reports of all holders. It is never less than what the
	// box could still get.
	Remaining granitehoist.Tokens `json:"x"`
	// Lenders names the incarnations of the region with the largest holdings, if the
	// grant does not cover the need.
	Lenders []granitehoist.Incarnation `json:"b,omitempty"`
}

// SyncResult is the Allocator's response to a SyncParams.
type SyncResult struct {
	Replies []Reply `json:"replies"`
	// Unknown means that the message was refused; see ErrUnknownIncarnation.
	Unknown bool `json:"unknown,omitempty"`
}

// BorrowParams is a loan request to another box of the region.
type BorrowParams struct {
	Incarnation granitehoist.Incarnation `json:"incarnation"`
	Budget      granitehoist.BudgetID    `json:"k"`
	// Known is the total that the borrower has received from this lender, and Want the
	// total that it asks for.
	Known granitehoist.Tokens `json:"known"`
	Want  granitehoist.Tokens `json:"want"`
}

// BorrowResult is the total that the lender has ever lent to the borrower.
type BorrowResult struct {
	Incarnation granitehoist.Incarnation `json:"incarnation"`
	Total       granitehoist.Tokens      `json:"total"`
}

// Method names of calls between routers.
const (
	// MethodSync carries a ShardSync to an Allocator and returns its SyncResult.
	MethodSync = "budget.sync"
	// MethodBorrow carries BorrowParams to a lender and returns its BorrowResult.
	MethodBorrow = "budget.borrow"
)
