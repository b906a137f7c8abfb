// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"context"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/partner/config"
)

// costTracker tracks the cost of one request across its attempts: the reservation, the used
// tokens and the charge. It is used by one goroutine at a time: first by the goroutine
// that serves the request, then by the goroutine that settles the cost.
type costTracker struct {
	gate    *Gate
	request *request
	// reserved is set while the maximum cost of an attempt is reserved and not settled.
	reserved bool
	charge   bill.Charge
	// mayHaveRun is set if an attempt may have run.
	mayHaveRun bool
	unsettled  []unsettledAttempt
}

// unsettledAttempt is an attempt whose upstream has not reported the cost yet.
type unsettledAttempt struct {
	attempt granitehoist.AttemptID
	address string
}

// reserve reserves the maximum cost of one attempt, unless it is reserved already.
func (t *costTracker) reserve(ctx context.Context) error {
	if t.reserved {
		return nil
	}
	if err := t.gate.settings.Budgets.Reserve(ctx, t.request.plan.budget, t.request.plan.maxCost); err != nil {
		return err
	}
	t.reserved = true
	return nil
}

func (t *costTracker) isPlain() bool { return t.request.input.model == "" }

// attemptEnded records the end of an attempt and settles it, unless its upstream has to be
// queried. An attempt that did not run leaves its reservation to the next attempt.
func (t *costTracker) attemptEnded(id granitehoist.AttemptID, u config.Upstream, usage granitehoist.Usage, err error) {
	action := decideSettlement(attemptOutcome{code: granitehoist.CodeOf(err), plain: t.isPlain(), usage: usage})
	if action == keepReservation {
		return
	}
	t.mayHaveRun = true
	t.reserved = false
	t.charge.Attempts = append(t.charge.Attempts, id)
	t.charge.Upstream = u.Name
	switch action {
	case settleMaxCost:
		t.settle(t.request.plan.maxCost)
	case settleUsage:
		t.settle(usage.Total())
	case queryUpstream:
		t.unsettled = append(t.unsettled, unsettledAttempt{id, u.Address})
	}
}

// settle ends one reservation with the used tokens.
func (t *costTracker) settle(tokens granitehoist.Tokens) {
	t.gate.settings.Budgets.Settle(t.request.plan.budget, t.request.plan.maxCost, tokens)
	t.charge.Tokens += tokens
}

// finish releases an unused reservation and records the charge. If there are unsettled
// attempts, a background goroutine queries their upstreams first and then records the charge.
func (t *costTracker) finish() {
	if t.reserved {
		t.gate.settings.Budgets.Settle(t.request.plan.budget, t.request.plan.maxCost, 0)
		t.reserved = false
	}
	if len(t.unsettled) == 0 {
		t.recordCharge()
		return
	}
	t.gate.background.Go(func() {
		for _, a := range t.unsettled {
			t.resolveUnsettled(a)
		}
		t.recordCharge()
	})
}

const (
	// maxResolveAttempts is how often an upstream is queried for the cost of an attempt.
	maxResolveAttempts = 3
	// resolveInterval is the delay between two queries for the cost of one attempt.
	resolveInterval = 200 * time.Millisecond
)

// resolveUnsettled stops an unsettled attempt and settles its cost. If the upstream doesn't
// report the cost, the maximum cost is charged and the charge is marked as estimated.
func (t *costTracker) resolveUnsettled(a unsettledAttempt) {
	protocol := t.gate.settings.Protocols[t.request.input.offer.Kind]
	for try := range maxResolveAttempts {
		if try > 0 {
			time.Sleep(resolveInterval)
		}
		// The context of the request may be canceled; Stop has a timeout of its own.
		usage, ok := protocol.Stop(context.Background(), a.address, a.attempt)
		if ok {
			t.settle(usage.Total())
			return
		}
	}
	t.charge.Estimated = true
	t.settle(t.request.plan.maxCost)
}

// recordCharge enters the charge of the request into the ledger of charges. If isCharged
// returns false, it releases the request's slot in that ledger instead.
func (t *costTracker) recordCharge() {
	cost := requestCost{mayHaveRun: t.mayHaveRun, plain: t.isPlain(), wasUnsettled: len(t.unsettled) > 0, tokens: t.charge.Tokens}
	if !isCharged(cost) {
		t.gate.settings.Ledger.ReleaseSlot()
		return
	}
	c := t.charge
	c.Request = t.request.input.id
	c.Budget = t.request.plan.budget
	c.Owner = t.request.input.offer.Owner
	c.Service = t.request.input.offer.Name
	t.gate.settings.Ledger.Charge(c, t.gate.settings.Clock())
}
