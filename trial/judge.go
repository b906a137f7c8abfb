// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package trial

import (
	"fmt"
	"sort"
	"strings"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/standin"
)

// Verdict is what a trial has shown.
type Verdict struct {
	Requests, Served, Refused, NotRun int
	// Billed is the bills that the charges in the store make.
	Billed int
	// Overspend is the tokens that upstreams counted beyond what was prepaid.
	Overspend granitehoist.Tokens
	// FalseRefusals is the requests refused for their budget that a single
	// counter, fed the same arrivals and actual costs, would have paid for.
	FalseRefusals int
	// Crossed is answers that were not the request's own or not whole.
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

// Held reports whether every promise was held.
func (v Verdict) Held() bool {
	return v.Overspend == 0 && v.Crossed == 0 && v.Doubled == 0 && v.Lost == 0 && v.Untrue == 0 && v.StopsFailed == 0
}

// String returns the verdict as one line of key=value pairs.
func (v Verdict) String() string {
	return fmt.Sprintf("requests=%d served=%d refused=%d not_run=%d billed=%d overspend=%d false_refusals=%d crossed=%d doubled=%d lost=%d untrue=%d cut=%d stops=%d stops_failed=%d",
		v.Requests, v.Served, v.Refused, v.NotRun, v.Billed, v.Overspend, v.FalseRefusals, v.Crossed, v.Doubled, v.Lost, v.Untrue, v.Cut, v.Stops, v.StopsFailed)
}

// execution is what the stand-ins have of one request.
type execution struct {
	runs   int
	tokens granitehoist.Tokens
}

// Judge compares what callers were told and what was charged with the books of
// the stand-ins.
func Judge(s *Site, outcomes []*Outcome, charges []bill.Charge) Verdict {
	v := Verdict{Requests: len(outcomes), Billed: len(bill.Bills(charges))}
	books := s.books()
	billed := map[string][]bill.Charge{}
	for _, c := range charges {
		billed[string(c.Request)] = append(billed[string(c.Request)], c)
	}
	for _, o := range outcomes {
		v.judgeAnswer(o, books[o.ID])
		v.judgeCharge(books[o.ID], billed[o.ID])
	}
	v.Overspend = s.overspend(outcomes, books)
	v.FalseRefusals = s.falseRefusals(outcomes)
	return v
}

func (v *Verdict) judgeAnswer(o *Outcome, x execution) {
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
	if o.Answered && !o.Whole {
		v.Crossed++
	}
	if allNotRun(o.Fates) {
		v.NotRun++
		if x.runs > 0 {
			v.Untrue++
		}
	}
	if o.shape.once && x.runs > 1 {
		v.Doubled += x.runs - 1
	}
}

func allNotRun(fates []granitehoist.Fate) bool {
	for _, f := range fates {
		if f != granitehoist.NotRun {
			return false
		}
	}
	return true
}

func (v *Verdict) judgeCharge(x execution, charges []bill.Charge) {
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
	if tokens != x.tokens || (x.runs > 0) != (len(charges) > 0) {
		v.Lost++
	}
}

// books returns the executions by request id, which every prompt and body
// begins with.
func (s *Site) books() map[string]execution {
	books := map[string]execution{}
	add := func(text string, runs int, tokens granitehoist.Tokens) {
		id, _, _ := strings.Cut(text, " ")
		x := books[id]
		x.runs += runs
		x.tokens += tokens
		books[id] = x
	}
	for _, engines := range s.Engines {
		for _, e := range engines {
			for _, x := range e.Books() {
				add(x.Text, x.Runs, x.Prompt+x.Output)
			}
		}
	}
	for _, services := range s.Plain {
		for _, p := range services {
			for what, runs := range p.Runs() {
				_, text, _ := strings.Cut(what, " ")
				add(text, runs, granitehoist.Tokens(runs)*plainPrice)
			}
		}
	}
	return books
}

// prepaid returns what each budget of the site has.
func (s *Site) prepaid() map[granitehoist.BudgetID]granitehoist.Tokens {
	prepaid := map[granitehoist.BudgetID]granitehoist.Tokens{}
	for partner, d := range s.documents {
		for _, b := range d.Budgets {
			prepaid[granitehoist.NewBudgetID(partner, b.Workspace, b.Name)] = b.Tokens
		}
	}
	return prepaid
}

func (s *Site) overspend(outcomes []*Outcome, books map[string]execution) granitehoist.Tokens {
	left := s.prepaid()
	for _, o := range outcomes {
		left[o.Budget] -= books[o.ID].tokens
	}
	var over granitehoist.Tokens
	for _, tokens := range left {
		over += max(0, -tokens)
	}
	return over
}

// falseRefusals feeds the arrivals to one counter a budget.
func (s *Site) falseRefusals(outcomes []*Outcome) int {
	left := s.prepaid()
	count := 0
	for _, o := range outcomes {
		if o.Code == granitehoist.PolicyDenied {
			continue
		}
		cost := o.cost()
		payable := cost <= left[o.Budget]
		if payable {
			left[o.Budget] -= cost
		}
		if payable && (o.Code == granitehoist.BudgetExhausted || o.Code == granitehoist.BudgetUnreachable) {
			count++
		}
	}
	return count
}

func (o *Outcome) cost() granitehoist.Tokens {
	if o.shape.model == "" {
		return plainPrice
	}
	return standin.Cost(o.Prompt, maxOutput)
}

// Summary returns a readable table: requests by workspace and result.
func Summary(outcomes []*Outcome) string {
	type row struct {
		budget granitehoist.BudgetID
		what   string
		code   granitehoist.Code
	}
	counts := map[row]int{}
	for _, o := range outcomes {
		what := string(o.shape.service)
		if o.shape.model != "" {
			what = string(o.shape.model)
		}
		code := o.Code
		if o.Failed != nil {
			code = granitehoist.Internal
		}
		counts[row{o.Budget, what, code}]++
	}
	rows := make([]row, 0, len(counts))
	for r := range counts {
		rows = append(rows, r)
	}
	sort.Slice(rows, func(i, j int) bool {
		a, b := rows[i], rows[j]
		if a.budget != b.budget {
			return a.budget < b.budget
		}
		if a.what != b.what {
			return a.what < b.what
		}
		return a.code < b.code
	})
	var text strings.Builder
	fmt.Fprintf(&text, "%-32s %-14s %-20s %-8s %s\n", "budget", "asked for", "result", "requests", "fate")
	for _, r := range rows {
		fmt.Fprintf(&text, "%-32s %-14s %-20s %-8d %s\n", r.budget, r.what, r.code, counts[r], r.code.Info().Fate)
	}
	return text.String()
}
