// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package trial

import (
	"fmt"
	"maps"
	"slices"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/bill"
)

// Result is the result of a run.
type Result struct {
	Requests, Served, Refused, NotRun int
	// Billed is the number of requests with a charge in the store.
	Billed int
	// Overspend is the number of tokens that upstreams counted in excess of the prepaid
	// tokens.
	Overspend granitehoist.Tokens
	// FalseRefusals is the number of requests refused for their budget that a single
	// central counter with the same arrivals and actual costs would have admitted.
	FalseRefusals int
	// WrongAnswers is the number of responses that belonged to another request or were
	// incomplete.
	WrongAnswers int
	// Duplicates is the number of repeated executions of requests with Outcome.Once, plus
	// the number of repeated charges of an attempt.
	Duplicates int
	// Unaccounted is the number of requests without a response, plus the number of requests
	// whose charge does not match the tokens that upstreams counted.
	Unaccounted int
	// FalseNotRun is the number of requests that were reported as not run, but ran.
	FalseNotRun int
	// Truncated is the number of streams that ended with an error, plus the number of requests
	// whose router was killed before the end of the response.
	Truncated int
	// Stops is the number of planned stops during the load, StopsFailed the number of
	// planned stops that failed.
	Stops, StopsFailed int
}

// Passed reports whether no guarantee was violated. False refusals and responses that were
// reported to the caller as cut violate no guarantee.
func (r Result) Passed() bool {
	return r.Overspend == 0 && r.WrongAnswers == 0 && r.Duplicates == 0 && r.Unaccounted == 0 && r.FalseNotRun == 0 && r.StopsFailed == 0
}

// String returns the result as one line of key=value pairs.
func (r Result) String() string {
	return fmt.Sprintf("requests=%d served=%d refused=%d not_run=%d billed=%d overspend=%d false_refusals=%d crossed=%d doubled=%d lost=%d untrue=%d cut=%d stops=%d stops_failed=%d",
		r.Requests, r.Served, r.Refused, r.NotRun, r.Billed, r.Overspend, r.FalseRefusals, r.WrongAnswers, r.Duplicates, r.Unaccounted, r.FalseNotRun, r.Truncated, r.Stops, r.StopsFailed)
}

// Executions is the number of executions of one request by the stand-ins, and the tokens
// counted for all of them.
type Executions struct {
	Runs   int
	Tokens granitehoist.Tokens
}

// Observations is the input of Verify.
type Observations struct {
	// Outcomes are in the order in which the requests were sent.
	Outcomes []*Outcome
	// Executions holds the executions by the stand-ins, by request ID.
	Executions map[granitehoist.RequestID]Executions
	// Charges are the charges in the store after all routers have stopped.
	Charges []bill.Charge
	// Prepaid is the initial balance of each budget.
	Prepaid map[granitehoist.BudgetID]granitehoist.Tokens
}

// Verify compares the responses and the charges with the executions by the stand-ins. It
// does not set Stops and StopsFailed.
func Verify(e Observations) Result {
	r := Result{
		Requests:      len(e.Outcomes),
		Overspend:     e.overspend(),
		FalseRefusals: e.falseRefusals(),
	}
	charges := map[granitehoist.RequestID][]bill.Charge{}
	for _, c := range e.Charges {
		charges[c.Request] = append(charges[c.Request], c)
	}
	for _, o := range e.Outcomes {
		r.checkOutcome(o, e.Executions[o.ID])
		r.checkCharges(e.Executions[o.ID], charges[o.ID])
	}
	return r
}

// checkOutcome counts the outcome of one request and compares it with the request's
// executions. There is nothing to compare for a request without a response, or whose
// router was killed.
func (r *Result) checkOutcome(o *Outcome, x Executions) {
	switch {
	case o.Killed:
		r.Truncated++
		return
	case o.Err != nil:
		r.Unaccounted++
		return
	case o.Code == granitehoist.Served:
		r.Served++
	case o.StreamFailed:
		r.Truncated++
	default:
		r.Refused++
	}
	if o.Answered && !o.Correct {
		r.WrongAnswers++
	}
	if allNotRun(o.ExecutionStatuses) {
		r.NotRun++
		if x.Runs > 0 {
			r.FalseNotRun++
		}
	}
	if o.Once && x.Runs > 1 {
		r.Duplicates += x.Runs - 1
	}
}

// allNotRun reports whether all responses said that the request did not run. statuses must
// not be empty.
func allNotRun(statuses []granitehoist.ExecutionStatus) bool {
	return !slices.ContainsFunc(statuses, func(f granitehoist.ExecutionStatus) bool { return f != granitehoist.NotRun })
}

// checkCharges compares the charges of one request with its executions: either both
// exist, with the same tokens, or neither, and no attempt may be charged twice.
func (r *Result) checkCharges(x Executions, charges []bill.Charge) {
	var tokens granitehoist.Tokens
	charged := map[granitehoist.AttemptID]bool{}
	for _, c := range charges {
		tokens += c.Tokens
		for _, attempt := range c.Attempts {
			if charged[attempt] {
				r.Duplicates++
			}
			charged[attempt] = true
		}
	}
	if len(charges) > 0 {
		r.Billed++
	}
	if tokens != x.Tokens || (x.Runs > 0) != (len(charges) > 0) {
		r.Unaccounted++
	}
}

// overspend returns the tokens counted by the stand-ins in excess of the prepaid tokens,
// summed over all budgets.
func (e Observations) overspend() granitehoist.Tokens {
	balances := maps.Clone(e.Prepaid)
	for _, o := range e.Outcomes {
		balances[o.Budget] -= e.Executions[o.ID].Tokens
	}
	var excess granitehoist.Tokens
	for _, tokens := range balances {
		excess += max(0, -tokens)
	}
	return excess
}

// falseRefusals returns the number of requests refused for their budget that one central
// counter for each budget would have admitted.
func (e Observations) falseRefusals() int {
	balances := maps.Clone(e.Prepaid)
	count := 0
	for _, o := range e.Outcomes {
		if o.Code == granitehoist.PolicyDenied || o.Cost > balances[o.Budget] {
			continue
		}
		balances[o.Budget] -= o.Cost
		if o.Code == granitehoist.BudgetExhausted || o.Code == granitehoist.BudgetUnreachable {
			count++
		}
	}
	return count
}
