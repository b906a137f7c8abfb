// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
)

// PlatformStore speaks the protocol of the users' store in front of a Store.
// Several may stand before one Store and fail each in its own way. It
// implements http.Handler.
type PlatformStore struct {
	// Store holds the keys.
	Store *Store

	mu     sync.Mutex
	faults PlatformFaults
}

// PlatformFaults are the failures that a PlatformStore shows on command.
type PlatformFaults struct {
	// Refuse answers every call with that status, if set.
	Refuse int
	// Hang answers no call.
	Hang bool
	// HistoryFrom is the version before which watches get 410.
	HistoryFrom granitehoist.Version
	// Deaf watches hear of nothing until they are cut.
	Deaf bool
}

// Fail sets the failures.
func (p *PlatformStore) Fail(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *PlatformStore) failing() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// The messages of the protocol.
type (
	platformItem struct {
		PrivateKey  string `json:"privateKey"`
		Data        []byte `json:"data,omitempty"`
		ModRevision uint64 `json:"modRevision"`
		Gone        bool   `json:"gone,omitempty"`
		At          uint64 `json:"at,omitempty"`
	}
	platformRange struct {
		Entries []platformItem `json:"entries"`
		More    bool           `json:"more"`
		At      uint64         `json:"at"`
	}
	platformEvents struct {
		Events []platformItem `json:"events"`
		At     uint64         `json:"at"`
	}
	platformTransaction struct {
		ExpectedRevision []platformItem `json:"expectedRevision"`
		Put              []platformItem `json:"put"`
		Delete           []string       `json:"delete"`
	}
	platformWritten struct {
		ModRevision uint64         `json:"modRevision,omitempty"`
		Entries     []platformItem `json:"entries,omitempty"`
	}
)

func itemOf(e granitehoist.Entry) platformItem {
	return platformItem{PrivateKey: e.Key, Data: e.Value, ModRevision: uint64(e.Version), Gone: e.Deleted}
}

func itemsOf(entries []granitehoist.Entry) []platformItem {
	items := make([]platformItem, 0, len(entries))
	for _, e := range entries {
		items = append(items, itemOf(e))
	}
	return items
}

// ServeHTTP implements http.Handler.
func (p *PlatformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults := p.failing()
	switch {
	case faults.Hang:
		<-r.Context().Done()
		return
	case faults.Refuse != 0:
		w.WriteHeader(faults.Refuse)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /kv-key":
		p.get(w, r)
	case "GET /kv-range":
		p.list(w, r)
	case "GET /kv-watch":
		p.watch(w, r, faults)
	case "POST /kv-txn":
		p.write(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// refuse answers with what an error of the Store stands for.
func (p *PlatformStore) refuse(w http.ResponseWriter, err error) {
	if errors.Is(err, granitehoist.ErrUnknown) {
		// The connection ends without an answer.
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (p *PlatformStore) get(w http.ResponseWriter, r *http.Request) {
	entry, err := p.Store.Get(r.Context(), r.URL.Query().Get("privateKey"))
	switch {
	case err != nil:
		p.refuse(w, err)
	case entry.Version == 0:
		w.WriteHeader(http.StatusNotFound)
	default:
		reply(w, itemOf(entry), nil)
	}
}

// platformPage is how many items a page has, small so that tests turn pages.
const platformPage = 5

func (p *PlatformStore) list(w http.ResponseWriter, r *http.Request) {
	entries, at, err := p.Store.List(r.Context(), r.URL.Query().Get("pathPrefix"))
	if err != nil {
		p.refuse(w, err)
		return
	}
	after := r.URL.Query().Get("sinceRevision")
	var page []granitehoist.Entry
	for _, e := range entries {
		if strings.Compare(e.Key, after) > 0 {
			page = append(page, e)
		}
	}
	more := len(page) > platformPage
	if more {
		page = page[:platformPage]
	}
	reply(w, platformRange{Entries: itemsOf(page), More: more, At: uint64(at)}, nil)
}

func (p *PlatformStore) watch(w http.ResponseWriter, r *http.Request, faults PlatformFaults) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("sinceRevision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	if granitehoist.Version(since) < faults.HistoryFrom {
		w.WriteHeader(http.StatusGone)
		return
	}
	if faults.Deaf {
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	entries, at, err := p.Store.Watch(r.Context(), query.Get("pathPrefix"), granitehoist.Version(since), time.Duration(wait)*time.Millisecond)
	if err != nil {
		p.refuse(w, err)
		return
	}
	reply(w, platformEvents{Events: itemsOf(entries), At: uint64(at)}, nil)
}

// write serves transactions of one key, which is all that the project makes.
func (p *PlatformStore) write(w http.ResponseWriter, r *http.Request) {
	var transaction platformTransaction
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil || len(transaction.ExpectedRevision) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expected := transaction.ExpectedRevision[0]
	change := granitehoist.Change{Key: expected.PrivateKey, Expect: granitehoist.Version(expected.ModRevision), Delete: len(transaction.Delete) > 0}
	if len(transaction.Put) > 0 {
		change.Value = transaction.Put[0].Data
	}
	version, err := p.Store.CompareAndSwap(r.Context(), change)
	switch {
	case errors.Is(err, granitehoist.ErrConflict):
		current, _ := p.Store.Get(r.Context(), change.Key)
		w.WriteHeader(http.StatusPreconditionFailed)
		reply(w, platformWritten{Entries: []platformItem{itemOf(current)}}, nil)
	case err != nil:
		p.refuse(w, err)
	default:
		reply(w, platformWritten{ModRevision: uint64(version)}, nil)
	}
}
