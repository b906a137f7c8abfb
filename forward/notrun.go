// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/exchange"
)

// NotRunReason is why a router concludes that an attempt did not run.
type NotRunReason string

// The reasons. No byte of an attempt was written for those from NotRunUndialed to
// NotRunDialFailed; the instance stated the others.
const (
	// NotRunUnproven means that the attempt ran or may have run.
	NotRunUnproven NotRunReason = ""
	// NotRunUndialed: the router reaches no upstream and did not dial.
	NotRunUndialed NotRunReason = "undialed"
	// NotRunDialRefused, NotRunDialTimedOut, NotRunDialCancelled and NotRunDialFailed: the
	// dial failed with the exchange.DialResult of that name.
	NotRunDialRefused   NotRunReason = "dial_refused"
	NotRunDialTimedOut  NotRunReason = "dial_timeout"
	NotRunDialCancelled NotRunReason = "dial_cancelled"
	NotRunDialFailed    NotRunReason = "dial_failed"
	// NotRunRejected: the instance rejected the request.
	NotRunRejected NotRunReason = "rejected"
	// NotRunMisdirected: another instance has the address.
	NotRunMisdirected NotRunReason = "misdirected"
	// NotRunInvalid: the instance rejected the request as invalid.
	NotRunInvalid NotRunReason = "invalid"
)

// dialReasons maps the result of a dial that failed to the reason.
var dialReasons = map[exchange.DialResult]NotRunReason{
	exchange.DialRefused:   NotRunDialRefused,
	exchange.DialTimedOut:  NotRunDialTimedOut,
	exchange.DialCancelled: NotRunDialCancelled,
	exchange.DialFailed:    NotRunDialFailed,
}

// notRunReason returns why the attempt did not run.
func (r *attemptResult) notRunReason() NotRunReason {
	switch {
	case granitehoist.CodeOf(r.err) == granitehoist.UpstreamsUnreachable:
		return NotRunUndialed
	case r.unsent:
		return dialReasons[exchange.DialResultOf(r.err)]
	case r.class == responseRefused:
		return NotRunRejected
	case r.class == responseMisdirected:
		return NotRunMisdirected
	case r.class == responseBadRequest:
		return NotRunInvalid
	}
	return NotRunUnproven
}
