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

// ErrorResponse is the body of an error response, in the format of OpenAI-compatible errors.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes the error of a request.
type ErrorDetail struct {
	// Code is the numbered result code, and Type its name.
	Code    int    `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
	// Execution says whether the request ran. Its JSON name stays for compatibility.
	Execution granitehoist.ExecutionStatus `json:"fate"`
	Advice    granitehoist.Advice          `json:"advice"`
	Request   granitehoist.RequestID       `json:"request_id"`
}

// asError returns err as a *granitehoist.Error. An error without a code becomes Internal,
// which means that the request may have run.
func asError(err error) *granitehoist.Error {
	var e *granitehoist.Error
	if errors.As(err, &e) {
		return e
	}
	return granitehoist.Wrap(granitehoist.Internal, err, "")
}

// failure returns the response body for an error.
func failure(id granitehoist.RequestID, e *granitehoist.Error) ErrorResponse {
	info := e.Code.Info()
	return ErrorResponse{Error: ErrorDetail{
		Code:      int(info.Code),
		Type:      info.Name,
		Message:   e.Message(),
		Execution: info.Execution,
		Advice:    info.Advice,
		Request:   id,
	}}
}

// refuse sends an error response. It must be called before anything else is written.
func (g *Gate) refuse(w http.ResponseWriter, id granitehoist.RequestID, err error) {
	e := asError(err)
	info := e.Code.Info()
	g.countResult(e.Code)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequest, string(id))
	header.Set(HeaderCode, strconv.Itoa(int(info.Code)))
	header.Set(HeaderExecution, string(info.Execution))
	if wait := retryAfter(e); wait > 0 {
		header.Set("Retry-After", strconv.Itoa(ceilSeconds(wait)))
	}
	w.WriteHeader(info.Status)
	// The write fails only if the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(failure(id, e))
}

// Delays for the Retry-After header of refusals.
const (
	// upstreamRetryAfter applies if no upstream is available or none has capacity.
	upstreamRetryAfter = time.Second
	// ledgerRetryAfter applies if the ledger of charges is full, which lasts until the
	// store responds again.
	ledgerRetryAfter = 10 * time.Second
)

// retryAfter returns the delay after which a refused caller may retry, zero for no advice. A
// delay in the error itself takes precedence, such as the delay that budget.Agent sets if it
// can't obtain tokens.
func retryAfter(e *granitehoist.Error) time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	switch e.Code {
	case granitehoist.NoUpstream, granitehoist.Overloaded:
		return upstreamRetryAfter
	case granitehoist.BillsFull:
		return ledgerRetryAfter
	}
	return 0
}

// ceilSeconds rounds d up to whole seconds, the unit of the Retry-After header.
func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
