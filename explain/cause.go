// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package explain

import (
	"net"
	"strconv"
	"strings"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/internal/event"
)

// lateFailureTime is how long after a refusal a failed call to the store can have
// been under way at the refusal: the bound of a call for the budgets.
const lateFailureTime = escrow.DefaultTimeout

// addLateFailure tells which call to the store failed soon after the request was
// refused for want of its answer. A conflict is no such failure, since the store
// answers with it.
func (s *Story) addLateFailure(l *Line, box *boxState) {
	if box.unreachable == nil || (l.Event != event.BudgetSyncFailed && l.Event != event.StoreLost) {
		return
	}
	cause := l.Get("error")
	if strings.Contains(cause, granitehoist.ErrConflict.Error()) {
		return
	}
	if l.At-box.unreachable.At <= lateFailureTime {
		s.add(l, "  %s later the router logged %s: %s", secondsBetween(box.unreachable, l), l.Event, cause)
	}
	box.unreachable = nil
}

// readSince decides whether the record of the budgets was read between a failed
// sync and the end of a request, which tells the age of its reading in rest_age.
// The failure says nothing of the request then. A request whose router never read
// the record has no age.
func readSince(failure, request *Line) bool {
	age := time.Duration(request.Number("rest_age") * float64(time.Second))
	return age > 0 && age < request.At-failure.At
}

// isLargerThanTotal decides whether a request was refused because it can cost more
// than the whole prepaid total. Its budget was not asked then, and the line has
// the outcome that stands for no question.
func isLargerThanTotal(request *Line) bool {
	exhausted := strconv.Itoa(int(granitehoist.BudgetExhausted))
	return request.Get("code") == exhausted && request.Get("budget") == escrow.Granted.String()
}

// outcomeMeaning returns what an outcome of the budget says of its cause, empty
// for one that this version does not know.
func outcomeMeaning(outcome string) string {
	switch outcome {
	case escrow.Exhausted.String():
		return "too few tokens were left in the store and at all routers"
	case escrow.Scarce.String():
		return "too few tokens could be had here, though other routers may have held enough"
	case escrow.Withheld.String():
		return "the budget is almost spent and the request is large for what is left"
	case escrow.Unreachable.String():
		return "neither the store nor a lender in touch with it answered in time"
	}
	return ""
}

// closedByRouter returns why the router itself ended an attempt whose error says
// that it closed the connection, and nothing for any other error. Such an error
// reads like a fault of the network, but an upstream that breaks a connection off
// leaves another one.
func closedByRouter(cause string) string {
	switch {
	case !strings.Contains(cause, net.ErrClosed.Error()):
		return ""
	case strings.Contains(cause, "no progress"):
		return "the upstream made no progress for too long"
	}
	return "the request's time was over, or the caller had left"
}
