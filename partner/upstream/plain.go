// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package upstream

import (
	"context"
	"net/http"

	"granitehoist.example/granitehoist"
)

// Plain is the protocol of plain services, which forwards any method, body and status.
// A response is buffered until it is complete, and rejected if it echoes the id of
// another attempt. Plain implements granitehoist.Protocol and is safe for concurrent use.
type Plain struct {
	sender *sender
}

// NewPlain returns a plain protocol with its own connection pool.
func NewPlain() *Plain { return &Plain{sender: newSender()} }

// Do implements granitehoist.Protocol. A response with any status is a success. The error
// is a *granitehoist.Error. Its code is UpstreamRefused if the service didn't run the
// call, and UpstreamLost, UpstreamCut, UpstreamBadAnswer, AnswerCrossed or CallerGone if
// it may have. The usage is always empty.
func (p *Plain) Do(ctx context.Context, c granitehoist.Call, sink granitehoist.Sink) (granitehoist.Usage, error) {
	response, end, err := p.sender.open(ctx, c)
	if err != nil {
		return granitehoist.Usage{}, err
	}
	defer end()
	buffer := p.sender.newBuffer()
	defer buffer.Release()
	body, err := buffer.ReadAll(response.Body, response.ContentLength)
	if err != nil {
		return granitehoist.Usage{}, bodyError(err)
	}
	header := EndToEndHeader(response.Header, HeaderAttempt)
	if length := response.Header.Get("Content-Length"); length != "" {
		// A response to HEAD has a Content-Length and no body.
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

// Stop implements granitehoist.Protocol. Plain services can't stop an attempt, so it
// always returns false.
func (p *Plain) Stop(context.Context, string, granitehoist.AttemptID) (granitehoist.Usage, bool) {
	return granitehoist.Usage{}, false
}

// List implements granitehoist.Protocol. Plain services keep no list of attempts, so it
// always returns nil.
func (p *Plain) List(context.Context, string, string) ([]granitehoist.KnownAttempt, error) {
	return nil, nil
}
