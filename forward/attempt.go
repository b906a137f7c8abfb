// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/internal/eventstream"
)

// attemptResult is how an attempt ended.
type attemptResult struct {
	// err is nil if the answer was passed on whole.
	err    error
	status int
	// final says that no other attempt may follow.
	final bool
	// unsent says that no byte left this router.
	unsent bool
	// refused says that the upstream had no room, moved that another instance
	// answered, failed that it answered with a failure of its own.
	refused, moved, failed bool
	instanceResult         balance.Result
}

// Rests of reused connections. An upstream may close a connection that rests
// at the moment at which a request is sent, and a request that runs at most
// once is then lost.
const (
	maxIdle       = time.Minute
	maxIdleUnsafe = 150 * time.Millisecond
)

// attempt sends the request to one instance.
func (a *activeRequest) attempt(ctx context.Context, lease *balance.Lease) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := a.newGuard(cancel)
	defer guard.stop()
	now := a.path.settings.Clock()
	response, err := a.path.settings.Pool.Do(ctx, a.message(lease, now), now)
	if err != nil {
		e := attemptResult{err: guard.explain(ctx, err)}
		e.unsent = granitehoist.CodeOf(err) == granitehoist.UpstreamRefused
		return e
	}
	defer response.Close()
	e := a.judge(response)
	switch {
	case e.refused, e.moved:
		// The rest of a short refusal frees the connection for others.
		_, _ = io.Copy(io.Discard, io.LimitReader(response, maxRefusalBytes))
		return e
	case e.err != nil:
		return e
	case e.failed:
		return a.passFailure(ctx, response, e)
	}
	if a.decided.route.Kind == catalog.Stream && response.Status < http.StatusMultipleChoices {
		e.err = a.stream(response, lease, guard)
	} else {
		e.err = a.passWhole(response)
	}
	if e.err != nil {
		e.err = guard.explain(ctx, e.err)
		return e
	}
	a.progress.runs++
	return e
}

// message returns what is sent.
func (a *activeRequest) message(lease *balance.Lease, now time.Time) exchange.Request {
	r := a.asked
	header := a.path.settings.Codec.Header(&Attempt{
		Request:     r,
		Route:       a.decided.route,
		Workspace:   a.decided.workspace,
		Priority:    a.decided.priority,
		Keyed:       a.decided.keyed,
		Instance:    lease.ID,
		Remaining:   a.decided.deadline.Sub(now),
		LastEventID: a.progress.lastEventID,
	})
	rest := maxIdle
	if !a.decided.route.Repeatable() {
		rest = maxIdleUnsafe
	}
	return exchange.Request{
		Address: lease.Address,
		Method:  r.Method,
		Target:  r.Target,
		Host:    r.Host,
		Header:  header,
		Body:    r.Body,
		Matches: func(h http.Header) bool { return a.path.settings.Codec.Matches(r, h) },
		MaxIdle: rest,
	}
}

// judge reads the head of an answer.
func (a *activeRequest) judge(response *exchange.Response) attemptResult {
	e := attemptResult{status: response.Status}
	verdict := a.path.settings.Codec.Judge(ResponseHead{Status: response.Status, Header: response.Header})
	switch {
	case verdict.NotRun:
		e.refused = !verdict.Moved
		e.moved = verdict.Moved
		e.err = instanceRefusal(verdict.RetryAfter)
	case a.progress.started && response.Status >= http.StatusMultipleChoices:
		// A part of another worker's answer has been passed on, which this
		// can't complete.
		e.err = granitehoist.Errorf(granitehoist.UpstreamBadAnswer, "status %d to a stream that was to go on", response.Status)
	case !verdict.Usable:
		e.err = granitehoist.Errorf(granitehoist.UpstreamBadAnswer, "status %d", response.Status)
	case response.Status >= http.StatusInternalServerError:
		e.failed = true
	}
	return e
}

// maxAnswerBytes bounds the answers that are held until they are whole.
const maxAnswerBytes = 8 << 20

// passFailure passes an upstream's own failure on unless another attempt may
// do better.
func (a *activeRequest) passFailure(ctx context.Context, response *exchange.Response, e attemptResult) attemptResult {
	body, err := readBody(response)
	if err != nil {
		e.err = err
		return e
	}
	e.err = granitehoist.Errorf(granitehoist.UpstreamBadAnswer, "status %d", response.Status)
	a.progress.runs++
	repeat := a.mayRetry(ctx, e)
	a.progress.runs--
	if repeat {
		// The attempt is paid for; forward must not ask for another.
		e.unsent = true
		return e
	}
	a.progress.runs++
	e.err = a.pass(response, body)
	e.final = true
	return e
}

const maxRefusalBytes = 64 << 10

// passWhole passes an answer on when all of it is here.
func (a *activeRequest) passWhole(response *exchange.Response) error {
	body, err := readBody(response)
	if err != nil {
		return err
	}
	return a.pass(response, body)
}

func (a *activeRequest) pass(response *exchange.Response, body []byte) error {
	if err := a.start(response); err != nil {
		return err
	}
	return a.write(body)
}

func readBody(response *exchange.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, granitehoist.Wrap(granitehoist.UpstreamCut, err, "")
	case len(body) > maxAnswerBytes:
		return nil, granitehoist.Errorf(granitehoist.UpstreamBadAnswer, "the answer is too long")
	}
	return body, nil
}

func (a *activeRequest) start(response *exchange.Response) error {
	if a.progress.started {
		return nil
	}
	a.progress.started = true
	a.progress.firstByteAt = a.path.settings.Clock()
	if err := a.sink.Start(response.Status, exchange.PassedOn(response.Header)); err != nil {
		return granitehoist.Wrap(granitehoist.CallerGone, err, "")
	}
	return nil
}

func (a *activeRequest) write(piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	if err := a.sink.Write(piece); err != nil {
		return granitehoist.Wrap(granitehoist.CallerGone, err, "")
	}
	return nil
}

const streamBufferBytes = 4096

// stream passes events on as they come whole. The head is held until the first
// event, so that until then another instance may answer.
func (a *activeRequest) stream(response *exchange.Response, lease *balance.Lease, guard *stallTimer) error {
	var splitter eventstream.Splitter
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := response.Read(buffer)
		events, failure := splitter.Add(buffer[:n])
		if failure != nil {
			return granitehoist.Wrap(granitehoist.UpstreamBadAnswer, failure, "")
		}
		if len(events) > 0 {
			lease.PromptRead()
			guard.progress()
			if failure := a.passEvents(response, events); failure != nil {
				return failure
			}
		}
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return granitehoist.Wrap(granitehoist.UpstreamCut, err, "")
		default:
			return a.endStream(response, splitter.Rest())
		}
	}
}

// passEvents passes on the events that the caller does not have yet.
func (a *activeRequest) passEvents(response *exchange.Response, events []eventstream.Event) error {
	for _, event := range events {
		if event.HasID {
			if event.ID <= a.progress.lastEventID {
				continue
			}
			if event.ID != a.progress.lastEventID+1 {
				return granitehoist.Errorf(granitehoist.UpstreamBadAnswer, "event %d follows %d", event.ID, a.progress.lastEventID)
			}
		}
		if err := a.start(response); err != nil {
			return err
		}
		if err := a.write(event.Raw); err != nil {
			return err
		}
		a.progress.events++
		if event.HasID {
			a.progress.lastEventID = event.ID
		}
	}
	return nil
}

// endStream passes on what follows the last event.
func (a *activeRequest) endStream(response *exchange.Response, rest []byte) error {
	if !response.Framed && len(rest) > 0 {
		return granitehoist.Errorf(granitehoist.UpstreamCut, "the stream ended within an event")
	}
	if err := a.start(response); err != nil {
		return err
	}
	return a.write(rest)
}

// stallTimer ends an attempt that makes no progress, if another may follow it.
type stallTimer struct {
	timer *time.Timer
	pause time.Duration
}

// errStalled says that an attempt made no progress.
var errStalled = errors.New("no progress")

// newGuard returns a guard for the next attempt.
func (a *activeRequest) newGuard(cancel context.CancelCauseFunc) *stallTimer {
	prompt := granitehoist.Tokens(0)
	if a.asked.Cost != nil {
		prompt = a.asked.Cost.Prompt
	}
	limits := limitProgress(a.decided.route, prompt, a.progress.runs)
	if limits.first <= 0 {
		return &stallTimer{}
	}
	return &stallTimer{pause: limits.gap, timer: time.AfterFunc(limits.first, func() { cancel(errStalled) })}
}

// progress notes that a piece of the answer has come.
func (g *stallTimer) progress() {
	if g.timer != nil && g.pause > 0 {
		g.timer.Reset(g.pause)
	}
}

func (g *stallTimer) stop() {
	if g.timer != nil {
		g.timer.Stop()
	}
}

// explain tells why an attempt ended.
func (g *stallTimer) explain(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errStalled) && granitehoist.CodeOf(err) != granitehoist.UpstreamRefused {
		return granitehoist.Wrap(granitehoist.UpstreamLost, err, "no progress")
	}
	return err
}
