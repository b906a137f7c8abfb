// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import "granitehoist.example/granitehoist"

// settlement is the input for the charge of a request.
type settlement struct {
	// cost is the maximum cost of the request.
	cost Cost
	// tokensPerEvent is the maximum number of tokens per event of the service's streams;
	// zero if events are not counted.
	tokensPerEvent granitehoist.Tokens
	// events is the number of counted events (isCounted) relayed by all attempts together.
	events int64
	// uncounted is set if bytes were relayed that are no counted events.
	uncounted bool
	// runs is the number of attempts that ran or may have run.
	runs int
	// complete is set if the response was relayed to its end.
	complete bool
}

// charge returns how many of the reserved tokens the request is charged. The output part is
// an upper bound of what the caller may have received. The charge is zero if no attempt ran
// or may have run. Otherwise it is the sum of
//
//   - the prompt, once for all attempts, and
//   - the output: tokensPerEvent for each relayed event, and for one more if the response
//     is incomplete, since an event may have been in transit. It is limited to the reserved
//     output, and is the whole reserved output if the service's events are not counted or
//     anything else was relayed: a whole response, the body of a failure, other bytes.
func (s settlement) charge() granitehoist.Tokens {
	if s.runs == 0 {
		return 0
	}
	events := s.events
	if !s.complete {
		events++
	}
	output := s.cost.Output
	if s.tokensPerEvent > 0 && !s.uncounted {
		output = min(output, granitehoist.Tokens(events)*s.tokensPerEvent)
	}
	return s.cost.Prompt + output
}
