// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"errors"
	"io"
	"net/http"

	"granitehoist.example/granitehoist"
)

// skipLimit bounds the answers that are passed over because they belong to
// earlier requests of a connection, and interim answers.
const skipLimit = 8

// drainLimit bounds the bytes that are read of such an answer.
const drainLimit = 1 << 20

// readAnswer reads answers until one belongs to the request.
func (c *conn) readAnswer(r Request) (*http.Response, error) {
	crossed := false
	for range skipLimit {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, answerError(err, crossed)
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(answer.Header) {
			return answer, nil
		}
		crossed = true
		if answer.Close || !drained(answer) {
			break
		}
	}
	return nil, granitehoist.Errorf(granitehoist.AnswerCrossed, "")
}

func drained(answer *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, drainLimit))
	return err == nil && n < drainLimit
}

func answerError(err error, crossed bool) error {
	switch {
	case crossed:
		return granitehoist.Wrap(granitehoist.AnswerCrossed, err, "")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return granitehoist.Wrap(granitehoist.UpstreamLost, err, "the connection ended")
	}
	var malformed interface{ Timeout() bool }
	if errors.As(err, &malformed) {
		return granitehoist.Wrap(granitehoist.UpstreamLost, err, "the connection broke")
	}
	return granitehoist.Wrap(granitehoist.UpstreamBadAnswer, err, "")
}
