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
	// that of repeated charges of an attempt.
	Duplicates int
	// Unaccounted is the number of requests without a response, plus that of requests whose
	// charge does not match the tokens that upstreams counted.
	Unaccounted int
	// FalseNotRun is the number of requests that were reported as not run, but ran.
	FalseNotRun int
	// Truncated is the number of streams that ended with an error, plus that of requests
	// whose router was killed before the end of the response.
	Truncated int
	// Stops is the number of planned stops during the load, StopsFailed that of
	// failed ones.
	Stops, StopsFailed int
}

// Passed reports whether no guarantee was violated. False refusals and responses that were
// reported to the caller as cut violate none.
func (v Result) Passed() bool {
	return v.Overspend == 0 && v.WrongAnswers == 0 && v.Duplicates == 0 && v.Unaccounted == 0 && v.FalseNotRun == 0 && v.StopsFailed == 0
}

// String returns the verdict as one line of key=value pairs.
func (v Result) String() string {
	return fmt.Sprintf("requests=%d served=%d refused=%d not_run=%d billed=%d overspend=%d false_refusals=%d crossed=%d doubled=%d lost=%d untrue=%d cut=%d stops=%d stops_failed=%d",
		v.Requests, v.Served, v.Refused, v.NotRun, v.Billed, v.Overspend, v.FalseRefusals, v.WrongAnswers, v.Duplicates, v.Unaccounted, v.FalseNotRun, v.Truncated, v.Stops, v.StopsFailed)
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
	v := Result{
		Requests:      len(e.Outcomes),
		Overspend:     e.overspend(),
		FalseRefusals: e.falseRefusals(),
	}
	charges := map[granitehoist.RequestID][]bill.Charge{}
	for _, c := range e.Charges {
		charges[c.Request] = append(charges[c.Request], c)
	}
	for _, o := range e.Outcomes {
		v.checkOutcome(o, e.Executions[o.ID])
		v.checkCharges(e.Executions[o.ID], charges[o.ID])
	}
	return v
}

// checkOutcome counts the outcome of one request and compares it with the request's
// executions. There is nothing to compare for a request without a response, or whose
// router was killed.
func (v *Result) checkOutcome(o *Outcome, x Executions) {
	switch {
	case o.Killed:
		v.Truncated++
		return
	case o.Err != nil:
		v.Unaccounted++
		return
	case o.Code == granitehoist.Served:
		v.Served++
	case o.StreamFailed:
		v.Truncated++
	default:
		v.Refused++
	}
	if o.Answered && !o.Correct {
		v.WrongAnswers++
	}
	if allNotRun(o.ExecutionStatuses) {
		v.NotRun++
		if x.Runs > 0 {
			v.FalseNotRun++
		}
	}
	if o.Once && x.Runs > 1 {
		v.Duplicates += x.Runs - 1
	}
}

// allNotRun reports whether all responses said that the request did not run. statuses must
// not be empty.
func allNotRun(statuses []granitehoist.ExecutionStatus) bool {
	return !slices.ContainsFunc(statuses, func(f granitehoist.ExecutionStatus) bool { return f != granitehoist.NotRun })
}

// checkCharges compares the charges of one request with its executions: there must be both
// or neither, with the same tokens, and no attempt may be charged twice.
func (v *Result) checkCharges(x Executions, charges []bill.Charge) {
	var tokens granitehoist.Tokens
	charged := map[granitehoist.AttemptID]bool{}
	for _, c := range charges {
		tokens += c.Tokens
		for _, attempt := range c.Attempts {
			if charged[attempt] {
				v.Duplicates++
			}
			charged[attempt] = true
		}
	}
	if len(charges) > 0 {
		v.Billed++
	}
	if tokens != x.Tokens || (x.Runs > 0) != (len(charges) > 0) {
		v.Unaccounted++
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
