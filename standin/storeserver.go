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

// Handler serves what 'granitehoist router' needs of the platform: the store's
// protocol as PlatformStore speaks it, and the list of boxes at boxlist.Path.
// GET /calls answers StoreCalls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", &PlatformStore{Store: s, PageItems: platformPage})
	mux.HandleFunc("GET "+boxlist.Path, s.serveBoxes)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Calls(), nil) })
	return mux
}

func (s *Store) serveBoxes(w http.ResponseWriter, r *http.Request) {
	boxes, err := s.Boxes(r.Context())
	reply(w, boxlist.List{Boxes: boxes}, err)
}

// maxBody bounds what is read of a request, in bytes: a value of the largest
// size is a third larger in base64.
const maxBody = 2 * granitehoist.MaxValueSize

// read decodes a JSON body, and answers 400 and returns false if it can't.
func read(w http.ResponseWriter, r *http.Request, into any) bool {
	body := http.MaxBytesReader(w, r.Body, maxBody)
	if err := json.NewDecoder(body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// reply answers a value as JSON, or an error of the store by its status.
func reply(w http.ResponseWriter, value any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		// A reader that closed its connection is no failure of the stand-in.
		_ = json.NewEncoder(w).Encode(value)
	case errors.Is(err, granitehoist.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
