// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"net/http"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
)

// reply is what the head of an answer means for its attempt.
type reply int

// The meanings.
const (
	// replyMissing: no answer to the attempt arrived.
	replyMissing reply = iota
	// replyRefused: the instance says that it did not run the request.
	replyRefused
	// replyMoved: another instance has this address, and did not run it.
	replyMoved
	// replyFaulty: the instance did not run the request for what the request states.
	replyFaulty
	// replyFailed: the instance's own failure, which may be passed on.
	replyFailed
	// replyNoContinuation: no stream, although the caller has the beginning of one.
	replyNoContinuation
	// replyUnusable: an answer that must not be passed on.
	replyUnusable
	// replyUsable: an answer that is passed on.
	replyUsable
)

// judgeHead decides what the head of an answer means, from its status and what
// the Codec read in it. started says that the caller has a part of an earlier
// instance's stream: only a successful answer can continue that.
func judgeHead(v Verdict, status int, started bool) reply {
	switch {
	case v.NotRun && v.Moved:
		return replyMoved
	case v.NotRun && v.Faulty:
		return replyFaulty
	case v.NotRun:
		return replyRefused
	case started && status >= http.StatusMultipleChoices:
		return replyNoContinuation
	case !v.Usable:
		return replyUnusable
	case status >= http.StatusInternalServerError:
		return replyFailed
	}
	return replyUsable
}

// error returns the error of an attempt that got the reply, nil for a usable
// one. retryAfter is what the instance stated, zero if it stated nothing.
func (r reply) error(status int, retryAfter time.Duration) error {
	switch r {
	case replyRefused, replyMoved:
		return instanceRefusal(retryAfter)
	case replyFaulty:
		return granitehoist.Errorf(granitehoist.BadHeader, "the upstream rejected the request")
	case replyNoContinuation:
		return granitehoist.Errorf(granitehoist.UpstreamBadAnswer, "status %d instead of the rest of a stream", status)
	case replyUnusable, replyFailed:
		return granitehoist.Errorf(granitehoist.UpstreamBadAnswer, "status %d", status)
	case replyMissing, replyUsable:
	}
	return nil
}

// instanceResult decides what an attempt says of the instance that it was sent
// to, for the choice of later ones. An attempt that ended because the caller
// left or the request's timeout passed (ended) says nothing, unless the instance
// had already answered with a failure or that it is another one.
func instanceResult(r *attemptResult, ended bool) balance.Result {
	switch {
	case r.reply == replyMoved:
		return balance.Moved
	case r.reply == replyFailed:
		return balance.Failed
	case r.err == nil, r.reply == replyFaulty:
		return balance.Good
	case ended, granitehoist.CodeOf(r.err) == granitehoist.CallerGone:
		return balance.Unclear
	case r.reply == replyRefused:
		return balance.Refused
	}
	return balance.Broken
}
