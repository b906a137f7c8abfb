// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"encoding/json"
	"net/http"
	"strconv"

	"granitehoist.example/granitehoist"
)

// sink forwards the response of an upstream to the caller. It is used only by the goroutine
// that serves the request.
type sink struct {
	w  http.ResponseWriter
	id granitehoist.RequestID
	// stream means that each chunk is flushed to the caller.
	stream bool
	// started is set once the status line was sent; no error response is possible then.
	started bool
	// status is the HTTP status of the upstream, valid once started.
	status  int
	onChunk func()
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
	out.Set(HeaderExecution, string(granitehoist.Ran))
	s.w.WriteHeader(status)
	return nil
}

// Write implements granitehoist.Sink.
func (s *sink) Write(chunk []byte) error {
	s.onChunk()
	if _, err := s.w.Write(chunk); err != nil {
		return err
	}
	if s.stream {
		return http.NewResponseController(s.w).Flush()
	}
	return nil
}

// abort ends a response that was started and can't be completed. A stream gets an error event
// and no [DONE]. For any other response the panic makes net/http close the connection, so
// that the caller detects the truncation.
func (s *sink) abort(e *granitehoist.Error) {
	if !s.stream {
		panic(http.ErrAbortHandler)
	}
	raw, err := json.Marshal(failure(s.id, e))
	if err != nil {
		panic("gate: can't encode the error event: " + err.Error())
	}
	// The write fails only if the caller has closed the connection.
	_ = s.Write([]byte("data: " + string(raw) + "\n\n"))
}
