// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"time"

	"granitehoist.example/granitehoist"
)

// State is the state of one account of a Ledger.
type State struct {
	Totals Totals
	Free   granitehoist.Tokens
}

// State returns the state of an account, or the zero State if there is none.
func (p *Ledger) State(k granitehoist.BudgetID, _ time.Time) State {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.accounts[k]
	if !ok {
		return State{}
	}
	return State{Totals: a.totals, Free: a.free()}
}
