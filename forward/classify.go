// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"net/http"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
)

// responseClass is the meaning of a response head for its attempt.
type responseClass int

// The response classes.
const (
	// responseMissing: no response arrived.
	responseMissing responseClass = iota
	// responseRefused: the instance did not run the request.
	responseRefused
	// responseMisdirected: another instance, which did not run the request, has the address.
	responseMisdirected
	// responseBadRequest: the instance did not run the request because it is invalid.
	responseBadRequest
	// responseFailed: a 5xx response of the instance, which may be relayed.
	responseFailed
	// responseNotResumed: the response does not continue the stream of which the caller
	// already has a part.
	responseNotResumed
	// responseInvalid: a response that must not be relayed.
	responseInvalid
	// responseUsable: a response that is relayed.
	responseUsable
)

// classifyHead returns the meaning of a response head from its status and what the Codec
// read in it. started is set if the caller has a part of an earlier instance's stream,
// which only a successful response can continue.
func classifyHead(head HeadInfo, status int, started bool) responseClass {
	switch {
	case head.NotRun && head.Misdirected:
		return responseMisdirected
	case head.NotRun && head.BadRequest:
		return responseBadRequest
	case head.NotRun:
		return responseRefused
	case started && status >= http.StatusMultipleChoices:
		return responseNotResumed
	case !head.Usable:
		return responseInvalid
	case status >= http.StatusInternalServerError:
		return responseFailed
	}
	return responseUsable
}

// error returns the error of an attempt with this response, nil for responseUsable and
// responseMissing. retryAfter is the Retry-After of the instance, zero if it sent none.
func (r responseClass) error(status int, retryAfter time.Duration) error {
	switch r {
	case responseRefused, responseMisdirected:
		return instanceRefusal(retryAfter)
	case responseBadRequest:
		return granitehoist.Errorf(granitehoist.BadHeader, "the upstream rejected the request")
	case responseNotResumed:
		return granitehoist.Errorf(granitehoist.UpstreamBadAnswer, "status %d instead of the rest of a stream", status)
	case responseInvalid, responseFailed:
		return granitehoist.Errorf(granitehoist.UpstreamBadAnswer, "status %d", status)
	case responseMissing, responseUsable:
	}
	return nil
}

// largeResponseBytes is the size from which a response counts as one of those that fill the
// memory of all reads.
const largeResponseBytes = 1 << 20

// instanceResult returns the result of an attempt that is reported to the balancer. ended
// is set if the caller disconnected or the request's timeout passed.
//
// A response that exceeded a bound of its own is Excessive whether or not the request ended.
// If the memory of all reads was short, a response is Broken if it is one of those that filled
// it, and Inconclusive if not.
// Attempts that were misdirected, got a 5xx response, were relayed completely or got a
// rejection of an invalid request have the same result whether or not the request ended.
// Any other attempt is Inconclusive if the request ended, the response could not be written
// to the caller or the router reaches no upstream. Otherwise it is Refused if the instance
// refused the request, and Broken if not.
func instanceResult(r *attemptResult, ended bool) balance.Result {
	exceeded := r.exceeded()
	switch {
	case exceeded != nil && exceeded.FaultOfPeer():
		return balance.Excessive
	case exceeded != nil && exceeded.Read >= largeResponseBytes:
		return balance.Broken
	case exceeded != nil:
		return balance.Inconclusive
	case r.class == responseMisdirected:
		return balance.Misdirected
	case r.class == responseFailed:
		return balance.Failed
	case r.err == nil, r.class == responseBadRequest:
		return balance.Succeeded
	case ended, granitehoist.CodeOf(r.err) == granitehoist.CallerGone, granitehoist.CodeOf(r.err) == granitehoist.UpstreamsUnreachable:
		return balance.Inconclusive
	case r.class == responseRefused:
		return balance.Refused
	}
	return balance.Broken
}
