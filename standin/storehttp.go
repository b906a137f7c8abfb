// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/store"
)

// Handler serves the store's protocol over HTTP.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+store.PathKeys, s.serveKeys)
	mux.HandleFunc("POST "+store.PathChange, s.serveChange)
	mux.HandleFunc("GET "+store.PathWatch, s.serveWatch)
	mux.HandleFunc("POST "+store.PathLeases, s.serveGrant)
	mux.HandleFunc("POST "+store.PathRenew, s.serveRenew)
	mux.HandleFunc("GET "+store.PathBoxes, s.serveBoxes)
	mux.HandleFunc("PUT /faults", s.serveFaults)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Calls(), nil) })
	return mux
}

func (s *Store) serveKeys(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if key := query.Get("key"); key != "" {
		e, err := s.Get(r.Context(), key)
		var found []granitehoist.Entry
		if e.Version != 0 {
			found = append(found, e)
		}
		reply(w, store.Entries{Entries: found}, err)
		return
	}
	found, version, err := s.List(r.Context(), query.Get("prefix"))
	reply(w, store.Entries{Entries: found, Version: version}, err)
}

func (s *Store) serveChange(w http.ResponseWriter, r *http.Request) {
	var change granitehoist.Change
	if !read(w, r, &change) {
		return
	}
	version, err := s.CompareAndSwap(r.Context(), change)
	reply(w, store.Written{Version: version}, err)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is no version", http.StatusBadRequest)
		return
	}
	found, version, err := s.Watch(r.Context(), query.Get("prefix"), granitehoist.Version(after), 0)
	reply(w, store.Entries{Entries: found, Version: version}, err)
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var lease store.Lease
	if !read(w, r, &lease) {
		return
	}
	id, err := s.GrantLease(r.Context(), time.Duration(lease.TTLMS)*time.Millisecond)
	reply(w, store.Lease{ID: id}, err)
}

func (s *Store) serveRenew(w http.ResponseWriter, r *http.Request) {
	var lease store.Lease
	if !read(w, r, &lease) {
		return
	}
	reply(w, store.Lease{ID: lease.ID}, s.RenewLease(r.Context(), lease.ID))
}

func (s *Store) serveBoxes(w http.ResponseWriter, r *http.Request) {
	boxes, err := s.Boxes(r.Context())
	reply(w, store.BoxList{Boxes: boxes}, err)
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults StoreFaults
	if !read(w, r, &faults) {
		return
	}
	s.Fail(faults)
	reply(w, faults, nil)
}

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	body := http.MaxBytesReader(w, r.Body, 2*granitehoist.MaxValueSize)
	if err := json.NewDecoder(body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, value any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		// A reader that has gone away is no failure of the stand-in.
		_ = json.NewEncoder(w).Encode(value)
	case errors.Is(err, granitehoist.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, granitehoist.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.Is(err, granitehoist.ErrNoLease):
		http.Error(w, err.Error(), http.StatusGone)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
