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

// Verdict is what a trial has shown.
type Verdict struct {
	Requests, Served, Refused, NotRun int
	// Billed is the requests that the store has a charge of.
	Billed int
	// Overspend is the tokens that upstreams counted beyond what was prepaid.
	Overspend granitehoist.Tokens
	// FalseRefusals is the requests refused for their budget that a single
	// counter, fed the same arrivals and actual costs, would have paid for.
	FalseRefusals int
	// Crossed is answers that were not the request's own or not complete.
	Crossed int
	// Doubled is executions of requests not to be repeated beyond the first,
	// and attempts charged more than once.
	Doubled int
	// Lost is requests whose caller got no answer at all, and executed
	// requests without a charge or with another than the upstream counted.
	Lost int
	// Untrue is requests whose caller was told that they did not run, and that
	// did.
	Untrue int
	// Cut is answers that broke off, whose callers were told so.
	Cut int
	// Stops is planned stops during the load, and StopsFailed those that left
	// something undone.
	Stops, StopsFailed int
}

// Held reports whether every promise was held. False refusals and cut answers
// break none: the first are few and counted, the second were told to the caller.
func (v Verdict) Held() bool {
	return v.Overspend == 0 && v.Crossed == 0 && v.Doubled == 0 && v.Lost == 0 && v.Untrue == 0 && v.StopsFailed == 0
}

// String returns the verdict as one line of key=value pairs.
func (v Verdict) String() string {
	return fmt.Sprintf("requests=%d served=%d refused=%d not_run=%d billed=%d overspend=%d false_refusals=%d crossed=%d doubled=%d lost=%d untrue=%d cut=%d stops=%d stops_failed=%d",
		v.Requests, v.Served, v.Refused, v.NotRun, v.Billed, v.Overspend, v.FalseRefusals, v.Crossed, v.Doubled, v.Lost, v.Untrue, v.Cut, v.Stops, v.StopsFailed)
}

// Executions is what the stand-ins executed of one request: how often, and the
// tokens that they counted for all executions together.
type Executions struct {
	Runs   int
	Tokens granitehoist.Tokens
}

// Evidence is what a trial is judged by.
type Evidence struct {
	// Outcomes are in the order in which the requests were sent.
	Outcomes []*Outcome
	// Books has what the stand-ins executed, by request id.
	Books map[granitehoist.RequestID]Executions
	// Charges are those in the store after all routers have stopped.
	Charges []bill.Charge
	// Prepaid is what each budget had at the beginning.
	Prepaid map[granitehoist.BudgetID]granitehoist.Tokens
}

// Judge compares what callers were told and what was charged with the books of
// the stand-ins. It leaves the planned stops of the verdict at zero.
func Judge(e Evidence) Verdict {
	v := Verdict{
		Requests:      len(e.Outcomes),
		Overspend:     e.overspend(),
		FalseRefusals: e.falseRefusals(),
	}
	charges := map[granitehoist.RequestID][]bill.Charge{}
	for _, c := range e.Charges {
		charges[c.Request] = append(charges[c.Request], c)
	}
	for _, o := range e.Outcomes {
		v.judgeAnswer(o, e.Books[o.ID])
		v.judgeCharge(e.Books[o.ID], charges[o.ID])
	}
	return v
}

// judgeAnswer counts what one caller was told, and compares it with the executions
// of the request. A caller who was cut off or got no answer was told nothing else.
func (v *Verdict) judgeAnswer(o *Outcome, x Executions) {
	switch {
	case o.Killed:
		v.Cut++
		return
	case o.Failed != nil:
		v.Lost++
		return
	case o.Code == granitehoist.Served:
		v.Served++
	case o.Broken:
		v.Cut++
	default:
		v.Refused++
	}
	if o.Answered && !o.Correct {
		v.Crossed++
	}
	if allNotRun(o.Fates) {
		v.NotRun++
		if x.Runs > 0 {
			v.Untrue++
		}
	}
	if o.Once && x.Runs > 1 {
		v.Doubled += x.Runs - 1
	}
}

// allNotRun reports whether every answer said that the request did not run. There
// is at least one.
func allNotRun(fates []granitehoist.Fate) bool {
	return !slices.ContainsFunc(fates, func(f granitehoist.Fate) bool { return f != granitehoist.NotRun })
}

// judgeCharge compares the charges of one request with its executions: both or
// neither must be there, with the same tokens, and no attempt charged twice.
func (v *Verdict) judgeCharge(x Executions, charges []bill.Charge) {
	var tokens granitehoist.Tokens
	charged := map[granitehoist.AttemptID]bool{}
	for _, c := range charges {
		tokens += c.Tokens
		for _, attempt := range c.Attempts {
			if charged[attempt] {
				v.Doubled++
			}
			charged[attempt] = true
		}
	}
	if len(charges) > 0 {
		v.Billed++
	}
	if tokens != x.Tokens || (x.Runs > 0) != (len(charges) > 0) {
		v.Lost++
	}
}

// overspend deducts what the stand-ins counted from what was prepaid.
func (e Evidence) overspend() granitehoist.Tokens {
	balances := maps.Clone(e.Prepaid)
	for _, o := range e.Outcomes {
		balances[o.Budget] -= e.Books[o.ID].Tokens
	}
	var over granitehoist.Tokens
	for _, tokens := range balances {
		over += max(0, -tokens)
	}
	return over
}

// falseRefusals feeds the requests to a naive counter for each budget.
func (e Evidence) falseRefusals() int {
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
