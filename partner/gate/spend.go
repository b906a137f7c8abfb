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

// spend is the cost of one request over all its attempts: what is reserved,
// what was used, and the one charge that is made of it. One goroutine uses it
// at a time: the request's own, and after the answer the one that settles.
type spend struct {
	gate    *Gate
	request *request
	// reserved is set while an attempt's bound is reserved and not settled.
	reserved bool
	charge   bill.Charge
	// mayHaveRun says that some attempt may have run.
	mayHaveRun bool
	unsettled  []unsettledAttempt
}

// unsettledAttempt is an attempt whose upstream has yet to say what it cost.
type unsettledAttempt struct {
	attempt granitehoist.AttemptID
	address string
}

// reserve sets the bound of one attempt aside, if none is.
func (s *spend) reserve(ctx context.Context) error {
	if s.reserved {
		return nil
	}
	if err := s.gate.settings.Funds.Reserve(ctx, s.request.decided.budget, s.request.decided.bound); err != nil {
		return err
	}
	s.reserved = true
	return nil
}

func (s *spend) plain() bool { return s.request.asked.model == "" }

// attemptEnded records the end of an attempt and settles it, unless its upstream
// has to be asked. An attempt that did not run leaves its reservation to the next.
func (s *spend) attemptEnded(id granitehoist.AttemptID, u config.Upstream, usage granitehoist.Usage, err error) {
	how := decideSettlement(attemptEnd{code: granitehoist.CodeOf(err), plain: s.plain(), usage: usage})
	if how == keepReservation {
		return
	}
	s.mayHaveRun = true
	s.reserved = false
	s.charge.Attempts = append(s.charge.Attempts, id)
	s.charge.Upstream = u.Name
	switch how {
	case settleBound:
		s.settle(s.request.decided.bound)
	case settleUsage:
		s.settle(usage.Total())
	case askUpstream:
		s.unsettled = append(s.unsettled, unsettledAttempt{id, u.Address})
	}
}

// settle ends one reservation with the tokens that were used.
func (s *spend) settle(tokens granitehoist.Tokens) {
	s.gate.settings.Funds.Settle(s.request.decided.budget, s.request.decided.bound, tokens)
	s.charge.Tokens += tokens
}

// finish gives back what was not used and enters the charge. Upstreams of
// unsettled attempts are asked first, in the background.
func (s *spend) finish() {
	if s.reserved {
		s.gate.settings.Funds.Settle(s.request.decided.budget, s.request.decided.bound, 0)
		s.reserved = false
	}
	if len(s.unsettled) == 0 {
		s.enterCharge()
		return
	}
	s.gate.background.Go(func() {
		for _, a := range s.unsettled {
			s.resolve(a)
		}
		s.enterCharge()
	})
}

const (
	// resolveTries bounds how often an upstream is asked what an attempt cost.
	resolveTries = 3
	// resolvePause is the time between them.
	resolvePause = 200 * time.Millisecond
)

// resolve stops an unsettled attempt and settles its cost. If the upstream
// can't say, the whole bound is charged and the charge marked as estimated.
func (s *spend) resolve(a unsettledAttempt) {
	protocol := s.gate.settings.Protocols[s.request.asked.offer.Kind]
	for try := range resolveTries {
		if try > 0 {
			time.Sleep(resolvePause)
		}
		// The caller's context may have ended; the protocol bounds the call.
		usage, ok := protocol.Stop(context.Background(), a.address, a.attempt)
		if ok {
			s.settle(usage.Total())
			return
		}
	}
	s.charge.Estimated = true
	s.settle(s.request.decided.bound)
}

// enterCharge makes the charge of the request, or gives up its room in the
// ledger.
func (s *spend) enterCharge() {
	cost := requestCost{mayHaveRun: s.mayHaveRun, plain: s.plain(), wasUnsettled: len(s.unsettled) > 0, tokens: s.charge.Tokens}
	if !isCharged(cost) {
		s.gate.settings.Ledger.ReleaseRoom()
		return
	}
	c := s.charge
	c.Request = s.request.asked.id
	c.Budget = s.request.decided.budget
	c.Owner = s.request.asked.offer.Owner
	c.Service = s.request.asked.offer.Name
	s.gate.settings.Ledger.Charge(c, s.gate.settings.Clock())
}
