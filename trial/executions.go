// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package trial

import (
	"strings"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/standin"
)

// engineFaults are the faults injected into the engines of each pool: refused requests,
// aborted responses, responses with the ID of another attempt, and missing usage. The
// periods are distinct primes, so that faults coincide in varying combinations.
var engineFaults = [enginesPerPool]standin.EngineFaults{
	{RefuseEvery: 11},
	{CutEvery: 13},
	{WrongIDEvery: 17, NoUsageEvery: 19},
}

// storeFaults lets the store apply every seventh write without a response.
var storeFaults = standin.StoreFaults{LoseEvery: 7}

// injectFaults enables the faults of the store and the engines.
func (f *Fleet) injectFaults() {
	f.Store.Fail(storeFaults)
	for i, engine := range f.engines {
		engine.Fail(engineFaults[i%enginesPerPool])
	}
}

// executions returns the executions recorded by the stand-ins, by the request ID with
// which every prompt and body begins.
func (f *Fleet) executions() map[granitehoist.RequestID]Executions {
	executions := map[granitehoist.RequestID]Executions{}
	add := func(text string, runs int, tokens granitehoist.Tokens) {
		id, _, _ := strings.Cut(text, " ")
		x := executions[granitehoist.RequestID(id)]
		x.Runs += runs
		x.Tokens += tokens
		executions[granitehoist.RequestID(id)] = x
	}
	for _, e := range f.engines {
		for _, x := range e.Executions() {
			add(x.Text, x.Runs, x.Prompt+x.Output)
		}
	}
	for _, p := range f.plain {
		for request, runs := range p.Runs() {
			_, text, _ := strings.Cut(request, " ")
			add(text, runs, granitehoist.Tokens(runs)*plainPrice)
		}
	}
	return executions
}

// prepaid returns the prepaid tokens of each budget.
func (f *Fleet) prepaid() map[granitehoist.BudgetID]granitehoist.Tokens {
	prepaid := map[granitehoist.BudgetID]granitehoist.Tokens{}
	for partner, d := range f.documents {
		for _, b := range d.Budgets {
			prepaid[granitehoist.NewBudgetID(partner, b.Workspace, b.Name)] = b.Tokens
		}
	}
	return prepaid
}
