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
func Judge(s *Site, told []*Told, charges []bill.Charge) Verdict {
	v := Verdict{Requests: len(told), Billed: len(bill.Bills(charges))}
	books := s.books()
	billed := map[string][]bill.Charge{}
	for _, c := range charges {
		billed[string(c.Request)] = append(billed[string(c.Request)], c)
	}
	for _, t := range told {
		v.judgeAnswer(t, books[t.ID])
		v.judgeCharge(books[t.ID], billed[t.ID])
	}
	v.Overspend = s.overspend(told, books)
	v.FalseRefusals = s.falseRefusals(told)
	return v
}

func (v *Verdict) judgeAnswer(t *Told, x execution) {
	switch {
	case t.Killed:
		v.Cut++
		return
	case t.Failed != nil:
		v.Lost++
		return
	case t.Code == granitehoist.Served:
		v.Served++
	case t.Broken:
		v.Cut++
	default:
		v.Refused++
	}
	if t.Answered && !t.Whole {
		v.Crossed++
	}
	if allNotRun(t.Fates) {
		v.NotRun++
		if x.runs > 0 {
			v.Untrue++
		}
	}
	if t.shape.once && x.runs > 1 {
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

func (s *Site) overspend(told []*Told, books map[string]execution) granitehoist.Tokens {
	left := s.prepaid()
	for _, t := range told {
		left[t.Budget] -= books[t.ID].tokens
	}
	var over granitehoist.Tokens
	for _, tokens := range left {
		over += max(0, -tokens)
	}
	return over
}

// falseRefusals feeds the arrivals to one counter a budget.
func (s *Site) falseRefusals(told []*Told) int {
	left := s.prepaid()
	count := 0
	for _, t := range told {
		if t.Code == granitehoist.PolicyDenied {
			continue
		}
		cost := t.cost()
		payable := cost <= left[t.Budget]
		if payable {
			left[t.Budget] -= cost
		}
		if payable && (t.Code == granitehoist.BudgetExhausted || t.Code == granitehoist.BudgetUnreachable) {
			count++
		}
	}
	return count
}

func (t *Told) cost() granitehoist.Tokens {
	if t.shape.model == "" {
		return plainPrice
	}
	return standin.Cost(t.Prompt, maxOutput)
}

// Summary returns a readable table: requests by workspace and result.
func Summary(told []*Told) string {
	type row struct {
		budget granitehoist.BudgetID
		what   string
		code   granitehoist.Code
	}
	counts := map[row]int{}
	for _, t := range told {
		what := string(t.shape.service)
		if t.shape.model != "" {
			what = string(t.shape.model)
		}
		code := t.Code
		if t.Failed != nil {
			code = granitehoist.Internal
		}
		counts[row{t.Budget, what, code}]++
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
