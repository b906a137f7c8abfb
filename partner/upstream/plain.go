// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package upstream

import (
	"context"
	"io"
	"net/http"

	"granitehoist.example/granitehoist"
)

// Plain is the protocol of plain services: any method, body and status is
// passed through. It implements granitehoist.Protocol and is safe for concurrent
// use.
//
// Answers of a service that echoes the attempt id are checked for belonging to
// the attempt. An answer is held back until it is complete, so that a caller
// never takes a part for the whole.
type Plain struct {
	sender *sender
}

// NewPlain returns the protocol.
func NewPlain() *Plain { return &Plain{sender: newSender()} }

// Do implements granitehoist.Protocol. Any status that the service answers is
// the answer. Its errors are *granitehoist.Error with code UpstreamRefused, if the
// service did not run the call, and UpstreamLost, UpstreamCut, UpstreamBadAnswer,
// AnswerCrossed and CallerGone, if it may have. The usage is always empty.
func (p *Plain) Do(ctx context.Context, c granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
	response, end, err := p.sender.open(ctx, c)
	if err != nil {
		return granitehoist.Usage{}, err
	}
	defer end()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return granitehoist.Usage{}, granitehoist.Wrap(granitehoist.UpstreamCut, err, "")
	}
	if len(body) > maxAnswer {
		return granitehoist.Usage{}, granitehoist.Errorf(granitehoist.UpstreamBadAnswer, "the answer is too large")
	}
	header := CopyHeader(response.Header, HeaderAttempt)
	if length := response.Header.Get("Content-Length"); length != "" {
		// The answer is complete here; one to HEAD has a length and no body.
		header.Set("Content-Length", length)
	}
	if err := sink.Start(response.StatusCode, header); err != nil {
		return granitehoist.Usage{}, granitehoist.Wrap(granitehoist.CallerGone, err, "")
	}
	if c.Method == http.MethodHead || len(body) == 0 {
		return granitehoist.Usage{}, nil
	}
	if err := sink.Write(body); err != nil {
		return granitehoist.Usage{}, granitehoist.Wrap(granitehoist.CallerGone, err, "")
	}
	return granitehoist.Usage{}, nil
}

// Stop implements granitehoist.Protocol. Plain services can't be asked to stop, so
// it always reports false.
func (p *Plain) Stop(context.Context, string, granitehoist.AttemptID) (granitehoist.Usage, bool) {
	return granitehoist.Usage{}, false
}

// List implements granitehoist.Protocol. Plain services keep no list of attempts,
// so it is always empty.
func (p *Plain) List(context.Context, string, string) ([]granitehoist.KnownAttempt, error) {
	return nil, nil
}
