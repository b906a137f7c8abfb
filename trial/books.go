// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package trial

import (
	"strings"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/standin"
)

// engineFaults are the failures of the engines of each pool: they refuse, cut
// and cross answers. The numbers are primes, so that the failures meet in
// changing ways; they are chosen, not measured.
var engineFaults = [enginesPerPool]standin.EngineFaults{
	{RefuseEvery: 11},
	{CutEvery: 13},
	{CrossEvery: 17, NoUsageEvery: 19},
}

// storeFaults let the store take a write now and then and lose its answer.
var storeFaults = standin.StoreFaults{LoseEvery: 7}

// disturb lets the stand-ins fail now and then.
func (s *Site) disturb() {
	s.Store.Fail(storeFaults)
	for i, engine := range s.engines {
		engine.Fail(engineFaults[i%enginesPerPool])
	}
}

// books returns what the stand-ins executed, by the request id that every
// prompt and body begins with.
func (s *Site) books() map[granitehoist.RequestID]Executions {
	books := map[granitehoist.RequestID]Executions{}
	add := func(text string, runs int, tokens granitehoist.Tokens) {
		id, _, _ := strings.Cut(text, " ")
		x := books[granitehoist.RequestID(id)]
		x.Runs += runs
		x.Tokens += tokens
		books[granitehoist.RequestID(id)] = x
	}
	for _, e := range s.engines {
		for _, x := range e.Books() {
			add(x.Text, x.Runs, x.Prompt+x.Output)
		}
	}
	for _, p := range s.plain {
		for what, runs := range p.Runs() {
			_, text, _ := strings.Cut(what, " ")
			add(text, runs, granitehoist.Tokens(runs)*plainPrice)
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
