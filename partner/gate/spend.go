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
	reserved bool
	charge   bill.Charge
	ran      bool
	doubts   []doubt
}

// doubt is an attempt whose cost is not known yet.
type doubt struct {
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

// attempted takes in the end of an attempt. An attempt that did not run leaves
// the reservation for the next.
func (s *spend) attempted(id granitehoist.AttemptID, u config.Upstream, usage granitehoist.Usage, err error) {
	fate := granitehoist.CodeOf(err).Info().Fate
	if fate == granitehoist.NotRun {
		return
	}
	s.ran = true
	s.reserved = false
	s.charge.Attempts = append(s.charge.Attempts, id)
	s.charge.Upstream = u.Name
	switch {
	case s.request.model == "":
		s.use(s.request.bound)
	case usage.Reported && err == nil:
		s.use(usage.Total())
	default:
		s.doubts = append(s.doubts, doubt{id, u.Address})
	}
}

// use settles one reservation.
func (s *spend) use(tokens granitehoist.Tokens) {
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
	if len(s.doubts) == 0 {
		s.enter()
		return
	}
	s.gate.background.Go(func() {
		for _, d := range s.doubts {
			s.resolve(d)
		}
		s.enter()
	})
}

// Tries of learning what an attempt in doubt cost, and the time between them.
const (
	resolveTries = 3
	resolvePause = 200 * time.Millisecond
)

// resolve stops an attempt in doubt and settles its cost. If the upstream
// can't tell, the whole bound is charged and the charge marked as estimated.
func (s *spend) resolve(d doubt) {
	protocol := s.gate.settings.Protocols[s.request.offer.Kind]
	for try := range resolveTries {
		if try > 0 {
			time.Sleep(resolvePause)
		}
		usage, ok := protocol.Stop(context.Background(), d.address, d.attempt)
		if ok {
			s.use(usage.Total())
			return
		}
	}
	s.charge.Estimated = true
	s.use(s.request.bound)
}

// enter makes the charge of the request, or none if it did not run: no attempt
// can have, or the engine that was in doubt says that it cost nothing.
func (s *spend) enter() {
	neverArrived := s.request.model != "" && len(s.doubts) > 0 && s.charge.Tokens == 0
	if !s.ran || neverArrived {
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
