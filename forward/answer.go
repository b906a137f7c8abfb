// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"io"
	"net/http"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/exchange"
)

// maxAnswerBytes bounds the memory for an answer that is read completely before it is
// passed on.
const maxAnswerBytes = 8 << 20

// completeAnswer is an answer that has arrived completely.
type completeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// readComplete reads an answer to its end. It returns an error with code
// UpstreamCut if the answer broke off, and UpstreamBadAnswer if it is longer
// than maxAnswerBytes.
func readComplete(response *exchange.Response) (completeAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(response, maxAnswerBytes+1))
	switch {
	case err != nil:
		return completeAnswer{}, granitehoist.Wrap(granitehoist.UpstreamCut, err, "")
	case len(body) > maxAnswerBytes:
		return completeAnswer{}, granitehoist.Errorf(granitehoist.UpstreamBadAnswer, "the answer is longer than %d bytes", maxAnswerBytes)
	}
	return completeAnswer{status: response.Status, header: response.Header, body: body}, nil
}

// passAnswer passes a usable answer on: a stream event by event, any other once
// it has arrived completely.
func (a *activeRequest) passAnswer(response *exchange.Response, lease *balance.Lease, timer *stallTimer) error {
	if a.admission.route.Kind == catalog.Stream && response.Status < http.StatusMultipleChoices {
		return a.passStream(response, lease, timer)
	}
	answer, err := readComplete(response)
	if err != nil {
		return err
	}
	return a.passComplete(answer)
}

// passComplete passes on an answer that has arrived completely. Its error has code
// CallerGone.
func (a *activeRequest) passComplete(answer completeAnswer) error {
	if err := a.passHead(answer.status, answer.header); err != nil {
		return err
	}
	return a.passPiece(answer.body)
}

// passHead passes the head of an answer on, unless the caller already has one. Its
// error has code CallerGone.
func (a *activeRequest) passHead(status int, header http.Header) error {
	if a.progress.started {
		return nil
	}
	a.progress.started = true
	a.progress.firstByteAt = a.forwarder.settings.Clock()
	if err := a.sink.Start(status, exchange.PassedOn(header)); err != nil {
		return granitehoist.Wrap(granitehoist.CallerGone, err, "")
	}
	return nil
}

// passPiece passes a piece of the body on. Its error has code CallerGone.
func (a *activeRequest) passPiece(piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	if err := a.sink.Write(piece); err != nil {
		return granitehoist.Wrap(granitehoist.CallerGone, err, "")
	}
	return nil
}
