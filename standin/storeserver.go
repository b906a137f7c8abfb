// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"encoding/json"
	"errors"
	"net/http"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/boxlist"
)

// Handler returns an HTTP handler of the platform's services for 'granitehoist router': the
// protocol of PlatformStore and the list of boxes at boxlist.Path. GET /calls returns the
// StoreCalls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", &PlatformStore{Store: s, PageItems: platformPageItems})
	mux.HandleFunc("GET "+boxlist.Path, s.serveBoxes)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls(), nil) })
	return mux
}

func (s *Store) serveBoxes(w http.ResponseWriter, r *http.Request) {
	boxes, err := s.Boxes(r.Context())
	writeJSON(w, boxlist.List{Boxes: boxes}, err)
}

// maxBodyBytes limits the size of a request body. It leaves room for the base64 encoding of
// the largest value, which is a third larger, and for the other fields.
const maxBodyBytes = 2 * granitehoist.MaxValueSize

// decodeBody decodes a JSON body into a pointer. If it can't, it responds with status 400
// and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON responds with a value as JSON or, if err is not nil, with its status: 503 for
// ErrUnavailable and 500 for any other error.
func writeJSON(w http.ResponseWriter, value any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		// An error means that the caller closed its connection.
		_ = json.NewEncoder(w).Encode(value)
	case errors.Is(err, granitehoist.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
