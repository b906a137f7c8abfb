// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package explain

import (
	"fmt"
	"strconv"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/internal/event"
)

// add appends a fact read from a line.
func (t *Timeline) add(l *Line, format string, args ...any) {
	t.facts = append(t.facts, fact{l.At, l.Box, fmt.Sprintf(format, args...)})
}

// addLine adds the facts of a line about the request.
func (t *Timeline) addLine(l *Line, box *boxState) {
	switch l.Event {
	case event.Attempt:
		t.addAttempt(l, box)
	case event.Request:
		t.addOutcome(l, box)
	}
}

// addAttempt adds one attempt: its result, whether its upstream's entry had been deleted
// before, why the router closed the connection if it did, what the upstream announced in
// its response, and the events that the caller had received.
func (t *Timeline) addAttempt(l *Line, box *boxState) {
	t.add(l, "attempt %s was sent to upstream %s (entry of version %s, %s of this router's requests there, home %s): %s after %s",
		l.Get("attempt"), l.Get("upstream"), l.Get("entry"), l.Get("load"), l.Get("home"), attemptOutcome(l), seconds(l.Number("took")))
	if up, ok := box.upstreams[l.Get("upstream")]; ok && up.Event == event.UpstreamGone {
		t.add(l, "  the upstream's entry had been deleted %s before", secondsBetween(up, l))
	}
	if closer := closedByRouter(l.Get("error")); closer != "" {
		t.add(l, "  the router closed this connection itself: %s", closer)
	}
	if limit := l.Get("limit"); limit != "" {
		t.add(l, "  the upstream said that it takes %s requests a second from all routers together", limit)
	}
	if l.Get("leaving") == "true" {
		t.add(l, "  the upstream announced that it is shutting down")
	}
	if rest := l.Number("rest"); rest > 0 {
		t.add(l, "  the upstream asked this router to back off for %s", seconds(rest))
	}
	if after := l.Number("after"); after > 0 {
		t.add(l, "  the caller had events up to %.0f by then", after)
	}
}

func attemptOutcome(l *Line) string {
	if cause := l.Get("error"); cause != "" {
		return "it failed: " + cause
	}
	return "status " + l.Get("status")
}

// addOutcome adds the result of the request and the state of the box at the decision:
// the configuration, the budget, and whether the router was stopping.
func (t *Timeline) addOutcome(l *Line, box *boxState) {
	t.add(l, "the request on route %s of workspace %q, service %s, was decided under configuration %s", l.Get("route"), l.Get("workspace"), l.Get("service"), l.Get("config"))
	if box.config != nil && box.config.Get("version") != l.Get("config") {
		t.add(l, "  configuration %s has come into force since", box.config.Get("version"))
	}
	switch {
	case l.Get("bound") == "":
	case exceedsPrepaid(l):
		t.add(l, "  it needed at most %s tokens, more than the whole prepaid total, so the budget was not asked", l.Get("bound"))
	default:
		t.add(l, "  it needed at most %s tokens; the budget said %s", l.Get("bound"), l.Get("budget"))
	}
	if used := l.Get("used"); used != "" {
		t.add(l, "  it was charged %s tokens", used)
	}
	if l.Get("budget") != "" && l.Get("budget") != "granted" {
		t.addBudgetCause(l, box)
	}
	t.addCrashEvidence(l)
	if waited := l.Number("permit_wait"); waited > 0 {
		t.add(l, "  every eligible upstream was in back-off or has a request rate limit shared by all routers; it waited %s for a permit or for the end of a back-off", seconds(waited))
	}
	t.add(l, "it ended with %s after %s; %s attempts, %s events; reported to the caller with %s", codeText(l.Get("code")), seconds(l.Number("took")), l.Get("attempts"), l.Get("events"), executionText(l.Get("fate")))
	if detail := l.Get("detail"); detail != "" {
		t.add(l, "  in detail: %s", detail)
	}
	if box.startStop != nil && box.startStop.Event == event.Stop {
		t.add(l, "  the router had been told to stop %s before", secondsBetween(box.startStop, l))
	}
}

// addCrashEvidence adds how many upstreams crashed while this request, others of its
// workspace on its route, or others with a part of its prompt may have been running there,
// and for how long requests are refused because of that.
func (t *Timeline) addCrashEvidence(l *Line) {
	if left := l.Number("scope_left"); left > 0 {
		t.add(l, "  upstreams crashed in %s rounds under requests of its workspace on its route, whatever their bodies; all of these are refused for another %s", l.Get("scope_round"), seconds(left))
	}
	if left := l.Number("part_left"); left > 0 {
		t.add(l, "  upstreams crashed in %s rounds under requests whose prompts have the part with digest %s; requests with it are refused for another %s", l.Get("part_round"), l.Get("part"), seconds(left))
	}
	if l.Get("digest") == "" {
		return
	}
	t.add(l, "  %s upstreams crashed while the same request (digest %s) may have been running there, in %s rounds, %s of them before any event; grep for the digest", l.Get("crashes"), l.Get("digest"), l.Get("round"), l.Get("early"))
	if left := l.Number("left"); left > 0 {
		t.add(l, "  it is refused for that, for another %s", seconds(left))
	}
}

// addBudgetCause adds why the request got no tokens: the tokens the router owned, the
// age of its copy of the record, and for how long the store had not responded.
func (t *Timeline) addBudgetCause(l *Line, box *boxState) {
	if meaning := outcomeMeaning(l.Get("budget")); meaning != "" {
		t.add(l, "  %s means that %s", l.Get("budget"), meaning)
	}
	t.add(l, "  the router owned %s free tokens; the store had %s left, as read %s before", l.Get("free"), l.Get("rest"), seconds(l.Number("rest_age")))
	unresponsiveFor := l.Number("silent")
	if unresponsiveFor > 0 {
		t.add(l, "  the store had not answered calls for the budgets for %s", seconds(unresponsiveFor))
	}
	if unresponsiveFor <= 0 && l.Get("budget") == escrow.Unreachable.String() {
		t.add(l, "  no call for the budgets had failed yet, but none was answered in time either")
		box.unexplainedRefusal = l
	}
	if box.failedSync != nil && !recordReadSince(box.failedSync, l) {
		t.add(l, "  the last sync of the budgets failed %s before: %s", secondsBetween(box.failedSync, l), box.failedSync.Get("error"))
	}
	if lost := box.longestOutage(); lost != nil {
		t.add(l, "  the store had not answered for %s: %s", secondsBetween(lost, l), lost.Get("error"))
	}
}

// codeText returns a result code with its message, or the code alone if it is unknown
// or not a number.
func codeText(number string) string {
	n, err := strconv.Atoi(number)
	if err != nil {
		return "code " + number
	}
	for _, info := range granitehoist.Codes() {
		if int(info.Code) == n {
			return fmt.Sprintf("code %d, %s", n, info.Message)
		}
	}
	return "code " + number
}

func executionText(execution string) string {
	if execution == "" {
		return "an unknown fate"
	}
	return "the fate \"" + execution + "\""
}

func secondsBetween(before, after *Line) string { return seconds((after.At - before.At).Seconds()) }

func seconds(s float64) string { return strconv.FormatFloat(s, 'f', 3, 64) + " s" }
