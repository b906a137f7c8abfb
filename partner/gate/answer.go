// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"granitehoist.example/granitehoist"
)

// Failure is the body of an answer that is not Served. Its form is that of
// OpenAI-compatible errors.
type Failure struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail tells what went wrong.
type FailureDetail struct {
	Code    int                    `json:"code"`
	Type    string                 `json:"type"`
	Message string                 `json:"message"`
	Fate    granitehoist.Fate      `json:"fate"`
	Advice  granitehoist.Advice    `json:"advice"`
	Request granitehoist.RequestID `json:"request_id"`
}

// asError returns an error as *Error.
func asError(err error) *granitehoist.Error {
	var e *granitehoist.Error
	if errors.As(err, &e) {
		return e
	}
	return granitehoist.Wrap(granitehoist.Internal, err, "")
}

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
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(info.Status)
	// A caller that has gone can't be told.
	_ = json.NewEncoder(w).Encode(failure(id, e))
}

// sink passes an upstream's answer to the caller.
type sink struct {
	w       http.ResponseWriter
	id      granitehoist.RequestID
	stream  bool
	started bool
	status  int
	onPiece func()
}

// Start implements granitehoist.Sink.
func (s *sink) Start(status int, header http.Header) error {
	s.started = true
	s.status = status
	out := s.w.Header()
	for name, values := range header {
		out[name] = values
	}
	out.Set(HeaderRequest, string(s.id))
	out.Set(HeaderCode, strconv.Itoa(int(granitehoist.Served)))
	out.Set(HeaderFate, string(granitehoist.Ran))
	s.w.WriteHeader(status)
	return nil
}

// Write implements granitehoist.Sink.
func (s *sink) Write(piece []byte) error {
	s.onPiece()
	if _, err := s.w.Write(piece); err != nil {
		return err
	}
	if s.stream {
		return http.NewResponseController(s.w).Flush()
	}
	return nil
}

// abort tells a caller, in an answer that has begun, that it is not whole.
// A stream gets an error event and no end mark; anything else is cut off.
func (s *sink) abort(e *granitehoist.Error) {
	if !s.stream {
		panic(http.ErrAbortHandler)
	}
	raw, err := json.Marshal(failure(s.id, e))
	if err != nil {
		panic("gate: failure does not encode: " + err.Error())
	}
	// A caller that has gone can't be told.
	_ = s.Write([]byte("data: " + string(raw) + "\n\n"))
}
