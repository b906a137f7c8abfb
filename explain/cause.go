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

// lateFailureWindow is how long after a refusal a call that was in progress at the
// refusal can fail: the timeout of a budget call.
const lateFailureWindow = escrow.DefaultTimeout

// addLateFailure adds the first failed call to the store after
// boxState.unexplainedRefusal, if it failed within lateFailureWindow. A version conflict
// is a response of the store and is not counted.
func (t *Timeline) addLateFailure(l *Line, box *boxState) {
	if box.unexplainedRefusal == nil || (l.Event != event.BudgetSyncFailed && l.Event != event.StoreLost) {
		return
	}
	cause := l.Get("error")
	if strings.Contains(cause, granitehoist.ErrConflict.Error()) {
		return
	}
	if l.At-box.unexplainedRefusal.At <= lateFailureWindow {
		t.add(l, "  %s later the router logged %s: %s", secondsBetween(box.unexplainedRefusal, l), l.Event, cause)
	}
	box.unexplainedRefusal = nil
}

// recordReadSince reports whether the budget record was read between a failed sync and
// the end of a request. If so, the failure did not cause the outcome of the request. The
// key rest_age of the request line is the age of the last read, zero if there was none.
func recordReadSince(failure, request *Line) bool {
	age := time.Duration(request.Number("rest_age") * float64(time.Second))
	return age > 0 && age < request.At-failure.At
}

// exceedsPrepaid reports whether a request was refused because its maximum cost exceeds
// the prepaid total. The router reserves nothing for such a request, and logs the budget
// outcome "granted" with the code BudgetExhausted.
func exceedsPrepaid(request *Line) bool {
	exhausted := strconv.Itoa(int(granitehoist.BudgetExhausted))
	return request.Get("code") == exhausted && request.Get("budget") == escrow.Granted.String()
}

// outcomeMeaning describes the cause of a budget outcome; it is empty for an unknown
// outcome.
func outcomeMeaning(outcome string) string {
	switch outcome {
	case escrow.Exhausted.String():
		return "too few tokens were left in the store and at all routers"
	case escrow.Scarce.String():
		return "this router could not obtain enough tokens, though other routers may have held enough"
	case escrow.Withheld.String():
		return "the budget is almost spent and the request is large for what is left"
	case escrow.Unreachable.String():
		return "neither the store nor a lender connected to it answered in time"
	}
	return ""
}

// closedByRouter returns why the router itself closed the connection of an attempt. It
// returns "" if cause, the logged error of the attempt, is not net.ErrClosed, for example
// because the upstream closed the connection.
func closedByRouter(cause string) string {
	switch {
	case !strings.Contains(cause, net.ErrClosed.Error()):
		return ""
	case strings.Contains(cause, "no progress"):
		return "the upstream made no progress for too long"
	}
	return "the request's time was over, or the caller had left"
}
