// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import "granitehoist.example/granitehoist"

// settlement is what the charge for a request depends on.
type settlement struct {
	// cost is the most that the request could cost.
	cost Cost
	// tokensPerEvent is the most tokens that one event of the service's streams
	// holds; zero if events are not counted.
	tokensPerEvent granitehoist.Tokens
	// events is the number of events passed on, by all attempts together.
	events int64
	// runs is the number of attempts that ran or may have run.
	runs int
	// complete says that the answer was passed on to its end.
	complete bool
}

// charge decides how many of the reserved tokens a request is charged. It never
// exceeds the reservation, and never is less than what the caller can have got,
// since a workspace may never get more than it paid for:
//
//   - nothing if no attempt can have run;
//   - otherwise the prompt, once, however many attempts ran;
//   - and the output: tokensPerEvent for each event passed on, and for one event
//     more if the answer broke off, since that event may have been on its way.
//     Where events are not counted it is all the output that was reserved.
//
// tokensPerEvent is as old as the configuration in force.
func (s settlement) charge() granitehoist.Tokens {
	if s.runs == 0 {
		return 0
	}
	events := s.events
	if !s.complete {
		events++
	}
	output := s.cost.Output
	if s.tokensPerEvent > 0 {
		output = min(output, granitehoist.Tokens(events)*s.tokensPerEvent)
	}
	return s.cost.Prompt + output
}
