// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pause"
)

// PlatformStore serves the protocol of the users' store from a Store. Several
// may serve the same Store, each with its own failures. It implements
// http.Handler, and its methods are safe for concurrent use.
type PlatformStore struct {
	// Store holds the keys.
	Store *Store
	// PageItems bounds the items of a page of a list; zero stands for
	// smallPage.
	PageItems int

	mu     sync.Mutex
	faults PlatformFaults
}

// PlatformFaults are the failures that a PlatformStore shows on command.
type PlatformFaults struct {
	// Refuse answers every call with that status, if set.
	Refuse int
	// Hang answers no call.
	Hang bool
	// HistoryFrom is the oldest version from which a watch can go on; a watch
	// from an older one gets 410.
	HistoryFrom granitehoist.Version
	// Deaf watches report no change; their connection ends after their wait.
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
	case "POST /kv-lease":
		p.grantLease(w, r)
	default:
		if id, ok := strings.CutPrefix(r.URL.Path, "/kv-keep/"); ok && r.Method == http.MethodPost {
			p.renewLease(w, r, granitehoist.LeaseID(id))
			return
		}
		w.WriteHeader(http.StatusNotFound)
	}
}

// refuse answers with what an error of the Store stands for.
func (p *PlatformStore) refuse(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, granitehoist.ErrUnknown):
		// The connection ends without an answer.
		panic(http.ErrAbortHandler)
	case errors.Is(err, granitehoist.ErrNoLease):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, granitehoist.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		// A value that is too large is the only other error.
		w.WriteHeader(http.StatusBadRequest)
	}
}

// get answers one key; a key that does not exist is 404.
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

const (
	// smallPage is the number of items on a page of a list in tests, so few that
	// they turn pages.
	smallPage = 5
	// platformPage is the number of items on a page of the users' store, by their
	// page on its protocol.
	platformPage = 500
	// platformPageBytes bounds the values on a page of the users' store, by the
	// same page.
	platformPageBytes = 1 << 20
)

// list answers one page of the keys under a prefix. sinceRevision is the last key
// of the page before.
func (p *PlatformStore) list(w http.ResponseWriter, r *http.Request) {
	entries, at, err := p.Store.List(r.Context(), r.URL.Query().Get("pathPrefix"))
	if err != nil {
		p.refuse(w, err)
		return
	}
	items := p.PageItems
	if items == 0 {
		items = smallPage
	}
	page, more := pageAfter(entries, r.URL.Query().Get("sinceRevision"), items)
	reply(w, platformRange{Entries: itemsOf(page), More: more, At: uint64(at)}, nil)
}

// pageAfter returns the entries of one page, which begins behind a key, and
// whether more follow. entries are sorted by key. A page has at least one entry
// if there is one.
func pageAfter(entries []granitehoist.Entry, after string, items int) ([]granitehoist.Entry, bool) {
	var page []granitehoist.Entry
	size := 0
	for _, e := range entries {
		if strings.Compare(e.Key, after) <= 0 {
			continue
		}
		size += len(e.Value)
		full := len(page) == items || size > platformPageBytes
		if full && len(page) > 0 {
			return page, true
		}
		page = append(page, e)
	}
	return page, false
}

// watch answers the changes under a prefix since a version, as soon as there are
// some or with none after the wait.
func (p *PlatformStore) watch(w http.ResponseWriter, r *http.Request, faults PlatformFaults) {
	query := r.URL.Query()
	revision, revisionErr := strconv.ParseUint(query.Get("sinceRevision"), 10, 64)
	milliseconds, waitErr := strconv.Atoi(query.Get("waitMs"))
	if revisionErr != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	since := granitehoist.Version(revision)
	wait := time.Duration(milliseconds) * time.Millisecond
	if since < faults.HistoryFrom {
		w.WriteHeader(http.StatusGone)
		return
	}
	if faults.Deaf {
		pause.For(r.Context(), wait)
		panic(http.ErrAbortHandler)
	}
	entries, at, err := p.Store.Watch(r.Context(), query.Get("pathPrefix"), since, wait)
	if err != nil {
		p.refuse(w, err)
		return
	}
	reply(w, platformEvents{Events: itemsOf(entries), At: uint64(at)}, nil)
}

// write serves transactions that expect something of each key that they write, which is
// all that the project makes.
func (p *PlatformStore) write(w http.ResponseWriter, r *http.Request) {
	var transaction platformTransaction
	if !read(w, r, &transaction) {
		return
	}
	if len(transaction.ExpectedRevision) != len(transaction.Put)+len(transaction.Delete) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	changes := transaction.changes()
	version, err := p.Store.CompareAndSwapAll(r.Context(), changes)
	switch {
	case errors.Is(err, granitehoist.ErrConflict):
		p.answerConflict(w, r, changes)
	case err != nil:
		p.refuse(w, err)
	default:
		reply(w, platformWritten{ModRevision: uint64(version)}, nil)
	}
}

// answerConflict answers with the states that the keys have instead.
func (p *PlatformStore) answerConflict(w http.ResponseWriter, r *http.Request, changes []granitehoist.Change) {
	var items []platformItem
	for _, change := range changes {
		current, err := p.Store.Get(r.Context(), change.Key)
		if err != nil {
			p.refuse(w, err)
			return
		}
		items = append(items, itemOf(current))
	}
	w.WriteHeader(http.StatusPreconditionFailed)
	reply(w, platformWritten{Entries: items}, nil)
}

// grantLease answers the number of a new lease.
func (p *PlatformStore) grantLease(w http.ResponseWriter, r *http.Request) {
	var lease platformLease
	if !read(w, r, &lease) {
		return
	}
	id, err := p.Store.GrantLease(r.Context(), time.Duration(lease.TTLMs)*time.Millisecond)
	if err != nil {
		p.refuse(w, err)
		return
	}
	number, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil {
		panic("standin: a lease of the store has no number: " + string(id))
	}
	reply(w, platformLease{Lease: number, TTLMs: lease.TTLMs}, nil)
}

func (p *PlatformStore) renewLease(w http.ResponseWriter, r *http.Request, id granitehoist.LeaseID) {
	if err := p.Store.RenewLease(r.Context(), id); err != nil {
		p.refuse(w, err)
		return
	}
	reply(w, platformLease{}, nil)
}
