// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"granitehoist.example/granitehoist"
)

// Failure is the body of an answer that is not Served. Its form is that of
// OpenAI-compatible errors.
type Failure struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail describes a failure.
type FailureDetail struct {
	// Code is the numbered result code, and Type its name.
	Code    int    `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
	// Fate says whether the request ran.
	Fate    granitehoist.Fate      `json:"fate"`
	Advice  granitehoist.Advice    `json:"advice"`
	Request granitehoist.RequestID `json:"request_id"`
}

// asError returns an error as *Error; one without a code is Internal, whose
// fate is that the request may have run.
func asError(err error) *granitehoist.Error {
	var e *granitehoist.Error
	if errors.As(err, &e) {
		return e
	}
	return granitehoist.Wrap(granitehoist.Internal, err, "")
}

// failure returns the body that describes an error to a caller.
func failure(id granitehoist.RequestID, e *granitehoist.Error) Failure {
	info := e.Code.Info()
	return Failure{Error: FailureDetail{
		Code:    int(info.Code),
		Type:    info.Name,
		Message: e.Message(),
		Fate:    info.Fate,
		Advice:  info.Advice,
		Request: id,
	}}
}

// refuse answers with an error. It is called only before any other answer.
func (g *Gate) refuse(w http.ResponseWriter, id granitehoist.RequestID, err error) {
	e := asError(err)
	info := e.Code.Info()
	g.countResult(e.Code)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequest, string(id))
	header.Set(HeaderCode, strconv.Itoa(int(info.Code)))
	header.Set(HeaderFate, string(info.Fate))
	if wait := retryAfter(e); wait > 0 {
		header.Set("Retry-After", strconv.Itoa(wholeSeconds(wait)))
	}
	w.WriteHeader(info.Status)
	// It fails only if the caller has closed its connection.
	_ = json.NewEncoder(w).Encode(failure(id, e))
}

// Times after which a refused caller may try again. They are advice in the
// header Retry-After, which counts whole seconds.
const (
	// upstreamRetryAfter is for a request that found no upstream, or none with room.
	upstreamRetryAfter = time.Second
	// billsRetryAfter is for a ledger that is full, which empties only when the store
	// answers again.
	billsRetryAfter = 10 * time.Second
)

// retryAfter decides when a refused caller may try again; zero stands for no
// advice. An error that carries its own time keeps it: budget.Agent sets one if
// it can't fetch tokens now.
func retryAfter(e *granitehoist.Error) time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	switch e.Code {
	case granitehoist.NoUpstream, granitehoist.Overloaded:
		return upstreamRetryAfter
	case granitehoist.BillsFull:
		return billsRetryAfter
	}
	return 0
}

// wholeSeconds rounds a time up to the seconds of the header Retry-After.
func wholeSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
