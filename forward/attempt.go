// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/internal/readlimit"
)

// attemptResult is the outcome of an attempt.
type attemptResult struct {
	// err is nil if the response was relayed completely.
	err error
	// headAt is when the response head arrived, zero if none did.
	headAt time.Time
	// status is the HTTP status, zero if no response arrived.
	status int
	class  responseClass
	// unsent is set if no byte was sent, refusedDial if that is since the dial was refused
	// or not tried.
	unsent, refusedDial bool
	// retryTaken is set if the stall timer took a retry from the retry budget.
	retryTaken bool
	// failure is a 5xx response of the instance, which is relayed if no other attempt
	// follows. It is nil for other outcomes; err is set with it.
	failure *bufferedResponse
	// feedback is what the response states about the instance.
	feedback balance.Feedback
	// drainError is set if the body of a refusal exceeded a bound.
	drainError *readlimit.Error
	// trace is what is known of the connection.
	trace exchange.Trace
	// crashed is set if the instance crashed while it may have been running the request.
	crashed bool
}

const (
	// maxRefusalBytes bounds the body of a refusal that is read so that its connection can
	// be reused.
	maxRefusalBytes = 64 << 10
	// maxRefusalTime bounds the time for it, during which the request waits.
	maxRefusalTime = 200 * time.Millisecond
)

// refusalLimits are the limits of the body of a refusal.
var refusalLimits = readlimit.Limits{Part: readlimit.Body, MaxBytes: maxRefusalBytes, MaxTime: maxRefusalTime, FromBegin: true}

// An upstream may close an idle connection while a request is being sent on it. The router
// then does not know whether the request ran, so that a request which must run at most
// once fails. The limits on the idle time of reused connections make this failure rare.
const (
	// maxIdle applies to requests that may run more than once. It has no effect of its own,
	// since the pool of package exchange does not reuse connections that were idle so long.
	maxIdle = time.Minute
	// maxIdleUnsafe applies to requests that must run at most once.
	maxIdleUnsafe = 150 * time.Millisecond
)

// idleLimit returns the maximum idle time of a connection that is reused for a request of
// route r. It applies if the upstream did not send a keep-alive timeout.
func idleLimit(r *catalog.Route) time.Duration {
	if r.Repeatable() {
		return maxIdle
	}
	return maxIdleUnsafe
}

// attempt sends the request to one instance and relays its response. A stream resumes
// after the event afterEvent, zero for its start.
func (a *activeRequest) attempt(ctx context.Context, lease *balance.Lease, afterEvent granitehoist.EventID) (result attemptResult) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := newStallTimer(ctx, a.stallLimits(), a.takeRetry, cancel)
	defer func() { result.retryTaken = timer.stop() }()
	now := a.forwarder.settings.Clock()
	request, trace := a.upstreamRequest(lease, afterEvent, now), exchange.Trace{}
	request.Trace = &trace
	response, err := a.forwarder.settings.Pool.Do(ctx, request, now)
	if err != nil {
		return attemptResult{err: a.pathRefusal(timer.attemptError(ctx, err)), trace: trace, unsent: isUnsent(err), refusedDial: isRefusedDial(err)}
	}
	defer response.Close()
	headAt := a.forwarder.settings.Clock()
	if response.ConnectTime > 0 {
		lease.ObserveConnect(response.ConnectTime, headAt)
	}
	head := a.forwarder.settings.Codec.ReadHead(ResponseHead{Status: response.Status, Header: response.Header})
	if !head.Misdirected {
		lease.Observe(head.Feedback, headAt)
	}
	result = attemptResult{headAt: headAt, trace: trace, status: response.Status, class: classifyHead(head, response.Status, a.progress.started), feedback: head.Feedback}
	result.err = result.class.error(response.Status, head.RetryAfter)
	switch result.class {
	case responseRefused, responseMisdirected, responseBadRequest:
		result.drainError = drainRefusal(response)
	case responseFailed:
		result.bufferFailure(response, a.forwarder.settings.ReadMemory)
	case responseUsable:
		result.err = timer.attemptError(ctx, a.relayResponse(response, lease, timer))
	case responseMissing, responseNotResumed, responseInvalid:
	}
	return result
}

// isUnsent reports whether an error of exchange.Pool.Do means that no byte was sent.
func isUnsent(err error) bool {
	code := granitehoist.CodeOf(err)
	return code == granitehoist.UpstreamRefused || code == granitehoist.UpstreamsUnreachable
}

// isRefusedDial reports whether an error of exchange.Pool.Do means that the dial was refused,
// or not tried because it would have been. A dial that timed out is not refused.
func isRefusedDial(err error) bool {
	if granitehoist.CodeOf(err) == granitehoist.UpstreamsUnreachable {
		return true
	}
	return isUnsent(err) && exchange.DialResultOf(err) == exchange.DialRefused
}

// pathRefusal returns the refusal for the error of a router that reaches no upstream, and
// other errors unchanged.
func (a *activeRequest) pathRefusal(err error) error {
	if granitehoist.CodeOf(err) != granitehoist.UpstreamsUnreachable {
		return err
	}
	refused := upstreamsUnreachable.error(a.timeLeft())
	refused.Cause = err
	return refused
}

// drainRefusal reads the body of a refusal. It returns an error if the body has no end within
// maxRefusalBytes. Any error leaves the connection unusable, so that response.Close closes it;
// a slow body is no fault of the upstream, since the limit of time is short.
func drainRefusal(response *exchange.Response) *readlimit.Error {
	response.Limit(refusalLimits, 0)
	_, err := io.Copy(io.Discard, response)
	if exceeded := readlimit.Of(err); exceeded != nil && exceeded.Bound == readlimit.Bytes {
		return exceeded
	}
	return nil
}

// bufferFailure reads a 5xx response of the instance, which is relayed only if no other
// attempt follows. The caller must release r.failure.
func (r *attemptResult) bufferFailure(response *exchange.Response, memory *readlimit.Memory) {
	buffered, err := readBuffered(response, memory)
	if err != nil {
		r.err = err
		return
	}
	r.failure = &buffered
}

// exceeded returns the bound that the response exceeded, nil if it exceeded none.
func (r *attemptResult) exceeded() *readlimit.Error {
	if r.drainError != nil {
		return r.drainError
	}
	return readlimit.Of(r.err)
}

// stallLimits returns the stall limits of the next attempt.
func (a *activeRequest) stallLimits() stallLimits {
	prompt := granitehoist.Tokens(0)
	if a.request.MaxCost != nil {
		prompt = a.request.MaxCost.Prompt
	}
	return stallLimitsFor(a.admission.route, prompt, a.progress.runs)
}

// upstreamRequest returns the HTTP request for the instance of the lease.
func (a *activeRequest) upstreamRequest(lease *balance.Lease, afterEvent granitehoist.EventID, now time.Time) exchange.Request {
	request, codec := a.request, a.forwarder.settings.Codec
	header := codec.Header(&Attempt{
		Request:     request,
		Route:       a.admission.route,
		Workspace:   a.admission.workspace,
		Priority:    a.admission.priority,
		RequireKey:  a.admission.requireKey,
		Instance:    lease.ID,
		Remaining:   a.admission.deadline.Sub(now),
		LastEventID: afterEvent,
	})
	return exchange.Request{
		Upstream: lease.ID,
		Address:  lease.Address,
		Method:   request.Method,
		Target:   request.Target,
		Host:     request.Host,
		Header:   header,
		Body:     request.Body,
		ID:       string(request.ID),
		Matches:  func(h http.Header) bool { return codec.Matches(request, h) },
		MaxIdle:  idleLimit(a.admission.route),
	}
}
