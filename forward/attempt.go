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
)

// attemptResult is how an attempt ended.
type attemptResult struct {
	// err is nil if the answer was passed on completely.
	err error
	// status is the answer's status, zero if no answer arrived.
	status int
	reply  reply
	// unsent says that no byte left this router.
	unsent bool
	// retryPaid says that the retry budget has paid for another attempt.
	retryPaid bool
	// failure is the instance's own failure, which is passed on if no other attempt
	// follows; nil if the attempt ended in another way. err is set with it.
	failure *completeAnswer
	// said is what the answer says of the instance itself.
	said balance.Statement
	// crashed says that the instance crashed while the request may have been running there.
	crashed bool
}

// maxRefusalBytes is how much of a refusal's body is read so that its connection can be
// reused.
const maxRefusalBytes = 64 << 10

// An upstream may close an idle connection just as a request is sent on it. Then
// it is unknown whether the request ran, so one that must run at most once fails.
const (
	// maxIdle bounds the idle time of a connection that is reused for a request that may
	// run more than once. It has no effect while the pool closes idle connections earlier,
	// as package exchange does.
	maxIdle = time.Minute
	// maxIdleUnsafe bounds the idle time of a connection that is reused for a request that
	// runs at most once.
	maxIdleUnsafe = 150 * time.Millisecond
)

// idleLimit decides how long a connection may have been idle to be reused for a
// request of a route. It applies where the upstream did not state how long it keeps
// idle connections.
func idleLimit(r *catalog.Route) time.Duration {
	if r.Repeatable() {
		return maxIdle
	}
	return maxIdleUnsafe
}

// attempt sends the request to one instance and passes its answer on. A stream
// begins after the event afterEvent.
func (a *activeRequest) attempt(ctx context.Context, lease *balance.Lease, afterEvent int64) (result attemptResult) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := newStallTimer(ctx, a.stallLimits(), a.payForRetry, cancel)
	defer func() { result.retryPaid = timer.stop() }()
	now := a.forwarder.settings.Clock()
	response, err := a.forwarder.settings.Pool.Do(ctx, a.upstreamRequest(lease, afterEvent, now), now)
	if err != nil {
		return attemptResult{
			err:    timer.attemptError(ctx, err),
			unsent: granitehoist.CodeOf(err) == granitehoist.UpstreamRefused,
		}
	}
	defer response.Close()
	verdict := a.forwarder.settings.Codec.Judge(ResponseHead{Status: response.Status, Header: response.Header})
	if !verdict.Moved {
		lease.Note(verdict.Said, a.forwarder.settings.Clock())
	}
	result = attemptResult{status: response.Status, reply: judgeHead(verdict, response.Status, a.progress.started), said: verdict.Said}
	result.err = result.reply.error(response.Status, verdict.RetryAfter)
	switch result.reply {
	case replyRefused, replyMoved, replyFaulty:
		// After an error Close closes the connection, so it need not be handled.
		_, _ = io.Copy(io.Discard, io.LimitReader(response, maxRefusalBytes))
	case replyFailed:
		result.holdFailure(response)
	case replyUsable:
		result.err = timer.attemptError(ctx, a.passAnswer(response, lease, timer))
	case replyMissing, replyNoContinuation, replyUnusable:
	}
	return result
}

// holdFailure reads an instance's own failure and keeps it for the decision whether
// another attempt follows.
func (r *attemptResult) holdFailure(response *exchange.Response) {
	answer, err := readComplete(response)
	if err != nil {
		r.err = err
		return
	}
	r.failure = &answer
}

// stallLimits returns the stall limits of the next attempt.
func (a *activeRequest) stallLimits() stallLimits {
	prompt := granitehoist.Tokens(0)
	if a.request.Cost != nil {
		prompt = a.request.Cost.Prompt
	}
	return limitStalls(a.admission.route, prompt, a.progress.runs)
}

// upstreamRequest returns the request as it is sent to the lease's instance.
func (a *activeRequest) upstreamRequest(lease *balance.Lease, afterEvent int64, now time.Time) exchange.Request {
	request, codec := a.request, a.forwarder.settings.Codec
	header := codec.Header(&Attempt{
		Request:     request,
		Route:       a.admission.route,
		Workspace:   a.admission.workspace,
		Priority:    a.admission.priority,
		Keyed:       a.admission.keyed,
		Instance:    lease.ID,
		Remaining:   a.admission.deadline.Sub(now),
		LastEventID: afterEvent,
	})
	return exchange.Request{
		Address: lease.Address,
		Method:  request.Method,
		Target:  request.Target,
		Host:    request.Host,
		Header:  header,
		Body:    request.Body,
		Matches: func(h http.Header) bool { return codec.Matches(request, h) },
		MaxIdle: idleLimit(a.admission.route),
	}
}
