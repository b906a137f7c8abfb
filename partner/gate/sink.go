// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"encoding/json"
	"net/http"
	"strconv"

	"granitehoist.example/granitehoist"
)

// sink passes an upstream's answer to the caller. It is used by the goroutine
// that serves the request.
type sink struct {
	w  http.ResponseWriter
	id granitehoist.RequestID
	// stream says that each piece goes to the caller at once.
	stream bool
	// started says that the caller has the status line; no other answer can be
	// given then.
	started bool
	// status is the upstream's HTTP status once started.
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

// abort ends an answer that has begun and will not be complete. A stream gets an
// error event and no end mark. Any other answer is cut off: net/http closes the
// connection on this panic, so that the caller notices that a part is missing.
func (s *sink) abort(e *granitehoist.Error) {
	if !s.stream {
		panic(http.ErrAbortHandler)
	}
	raw, err := json.Marshal(failure(s.id, e))
	if err != nil {
		panic("gate: failure does not encode: " + err.Error())
	}
	// It fails only if the caller has closed its connection.
	_ = s.Write([]byte("data: " + string(raw) + "\n\n"))
}
