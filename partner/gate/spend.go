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
// what was used, and the one charge that is made of it.
type spend struct {
	gate    *Gate
	request *request
	// reserved is set while an attempt's bound is reserved and not settled.
	reserved   bool
	charge     bill.Charge
	mayHaveRun bool
	unsettled  []unsettledAttempt
}

// unsettledAttempt is an attempt whose cost is not known yet.
type unsettledAttempt struct {
	attempt granitehoist.AttemptID
	address string
}

// reserve sets the bound of one attempt aside, if none is.
func (s *spend) reserve(ctx context.Context) error {
	if s.reserved {
		return nil
	}
	if err := s.gate.settings.Funds.Reserve(ctx, s.request.budget, s.request.bound); err != nil {
		return err
	}
	s.reserved = true
	return nil
}

// attemptEnded takes in the end of an attempt. An attempt that did not run leaves
// the reservation for the next.
func (s *spend) attemptEnded(id granitehoist.AttemptID, u config.Upstream, usage granitehoist.Usage, err error) {
	fate := granitehoist.CodeOf(err).Info().Fate
	if fate == granitehoist.NotRun {
		return
	}
	s.mayHaveRun = true
	s.reserved = false
	s.charge.Attempts = append(s.charge.Attempts, id)
	s.charge.Upstream = u.Name
	switch {
	case s.request.model == "":
		s.settle(s.request.bound)
	case usage.Reported && err == nil:
		s.settle(usage.Total())
	default:
		s.unsettled = append(s.unsettled, unsettledAttempt{id, u.Address})
	}
}

// settle settles one reservation.
func (s *spend) settle(tokens granitehoist.Tokens) {
	s.gate.settings.Funds.Settle(s.request.budget, s.request.bound, tokens)
	s.charge.Tokens += tokens
}

// finish gives back what was not used and enters the charge. Attempts in doubt
// are stopped and asked for in the background first.
func (s *spend) finish() {
	if s.reserved {
		s.gate.settings.Funds.Settle(s.request.budget, s.request.bound, 0)
		s.reserved = false
	}
	if len(s.unsettled) == 0 {
		s.enterCharge()
		return
	}
	s.gate.background.Go(func() {
		for _, d := range s.unsettled {
			s.resolve(d)
		}
		s.enterCharge()
	})
}

// Tries of learning what an attempt in doubt cost, and the time between them.
const (
	resolveTries = 3
	resolvePause = 200 * time.Millisecond
)

// resolve stops an attempt in doubt and settles its cost. If the upstream
// can't tell, the whole bound is charged and the charge marked as estimated.
func (s *spend) resolve(d unsettledAttempt) {
	protocol := s.gate.settings.Protocols[s.request.offer.Kind]
	for try := range resolveTries {
		if try > 0 {
			time.Sleep(resolvePause)
		}
		usage, ok := protocol.Stop(context.Background(), d.address, d.attempt)
		if ok {
			s.settle(usage.Total())
			return
		}
	}
	s.charge.Estimated = true
	s.settle(s.request.bound)
}

// enterCharge makes the charge of the request, or none if it did not run: no attempt
// can have, or the engine that was in doubt says that it cost nothing.
func (s *spend) enterCharge() {
	neverArrived := s.request.model != "" && len(s.unsettled) > 0 && s.charge.Tokens == 0
	if !s.mayHaveRun || neverArrived {
		s.gate.settings.Ledger.Drop()
		return
	}
	c := s.charge
	c.Request = s.request.id
	c.Budget = s.request.budget
	c.Owner = s.request.offer.Owner
	c.Service = s.request.offer.Name
	s.gate.settings.Ledger.Charge(c, s.gate.settings.Clock())
}
