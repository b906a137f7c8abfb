// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"errors"
	"io"
	"net/http"

	"granitehoist.example/granitehoist"
)

const (
	// maxAnswersRead bounds the answers read for one request: interim ones and those to
	// earlier requests may precede its own.
	maxAnswersRead = 8
	// maxDrainBytes bounds the body of an earlier request's answer that is read to reach
	// the next.
	maxDrainBytes = 1 << 20
)

// answerKind is how an answer relates to the request that waits for one.
type answerKind int

const (
	// interim answers (1xx) announce another one.
	interim answerKind = iota
	// own answers belong to the request.
	own
	// foreign answers belong to an earlier request of the connection.
	foreign
)

// kindOf decides how an answer relates to the request. matches reports whether a
// header belongs to it; it is called for final answers only, and nil matches all.
func kindOf(status int, header http.Header, matches func(http.Header) bool) answerKind {
	switch {
	case status < http.StatusOK:
		return interim
	case matches == nil || matches(header):
		return own
	}
	return foreign
}

// readAnswer reads answers until one belongs to the request. It skips foreign
// ones, as long as they can be read to their end.
func (c *conn) readAnswer(r Request) (*http.Response, error) {
	crossed := false
	for range maxAnswersRead {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, readError(err, crossed)
		}
		switch kindOf(answer.StatusCode, answer.Header, r.Matches) {
		case interim:
			continue
		case own:
			return answer, nil
		case foreign:
			crossed = true
		}
		if answer.Close || !drained(answer) {
			break
		}
	}
	return nil, granitehoist.Errorf(granitehoist.AnswerCrossed, "")
}

// drained reads the body of a skipped answer, and reports whether it reached the
// end.
func drained(answer *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxDrainBytes))
	return err == nil && n < maxDrainBytes
}

// readError decides what a failure to read an answer says of the request, which
// may have run in each case. If a foreign answer arrived first, the code is
// AnswerCrossed. If the connection ended, broke or was closed because the context
// ended, there is no answer (UpstreamLost). Otherwise the bytes that arrived are no
// HTTP answer (UpstreamBadAnswer).
func readError(err error, crossed bool) error {
	// All errors of connections have this method, also that of a closed one.
	var network interface{ Timeout() bool }
	switch {
	case crossed:
		return granitehoist.Wrap(granitehoist.AnswerCrossed, err, "")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return granitehoist.Wrap(granitehoist.UpstreamLost, err, "the connection ended")
	case errors.As(err, &network):
		return granitehoist.Wrap(granitehoist.UpstreamLost, err, "the connection broke")
	}
	return granitehoist.Wrap(granitehoist.UpstreamBadAnswer, err, "")
}
