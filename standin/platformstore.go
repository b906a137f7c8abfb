// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pause"
)

// PlatformStore serves a Store by the HTTP protocol of the platform's store. Several may
// serve the same Store with different faults. It implements http.Handler, and its methods
// are safe for concurrent use.
type PlatformStore struct {
	// Store holds the keys.
	Store *Store
	// PageItems is the maximum number of items on a page of a list; zero means
	// testPageItems.
	PageItems int
	// Rewrite, if set, returns the value of a key as this front end serves it, for example
	// with the address of an upstream as seen from one router. The version stays the same.
	Rewrite func(key string, value []byte) []byte

	mu     sync.Mutex
	faults PlatformFaults
}

// PlatformFaults are the faults that a PlatformStore injects.
type PlatformFaults struct {
	// Refuse, unless zero, is the status of the response to every call.
	Refuse int
	// RefuseWrites rejects conditional writes with status 503.
	RefuseWrites bool
	// Hang leaves every call without a response.
	Hang bool
	// HistoryFrom is the oldest revision from which a watch can continue. A watch from an
	// older one gets status 410.
	HistoryFrom uint64
	// DropWatches makes watches report no changes and lose their connection after the wait.
	DropWatches bool
}

// Fail replaces the faults for calls that begin afterwards.
func (p *PlatformStore) Fail(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *PlatformStore) currentFaults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// ServeHTTP implements http.Handler.
func (p *PlatformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults := p.currentFaults()
	switch {
	case faults.Hang:
		<-r.Context().Done()
		return
	case faults.RefuseWrites && r.URL.Path == "/kv-txn":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case faults.Refuse != 0:
		w.WriteHeader(faults.Refuse)
		return
	}
	setEra(w, p.Store.Era())
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

// eraHeader is the header that states the store's era.
const eraHeader = "Store-Era"

// setEra sets the era of a response that has not been written.
func setEra(w http.ResponseWriter, era granitehoist.Era) {
	w.Header().Set(eraHeader, strconv.FormatUint(uint64(era), 10))
}

// writeError writes the status for an error of the Store.
func (p *PlatformStore) writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, granitehoist.ErrUnknown):
		// The connection closes without a response.
		panic(http.ErrAbortHandler)
	case errors.Is(err, granitehoist.ErrHistoryGone):
		setEra(w, p.Store.Era())
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, granitehoist.ErrNoLease):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, granitehoist.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		// The other errors are invalid changes.
		w.WriteHeader(http.StatusBadRequest)
	}
}

// get returns the entry of a key, or status 404 if the key does not exist.
func (p *PlatformStore) get(w http.ResponseWriter, r *http.Request) {
	entry, err := p.Store.Get(r.Context(), r.URL.Query().Get("privateKey"))
	switch {
	case err != nil:
		p.writeError(w, err)
	case entry.Version == 0:
		w.WriteHeader(http.StatusNotFound)
	default:
		setEra(w, entry.Version.Era())
		writeJSON(w, p.newItem(entry), nil)
	}
}

const (
	// testPageItems is a small page size, so that lists in tests have several pages.
	testPageItems = 5
	// platformPageItems is the page size of the platform's store, in items.
	platformPageItems = 500
	// platformPageBytes is the maximum total size of the values on a page of the
	// platform's store.
	platformPageBytes = 1 << 20
)

// list returns one page of the entries under a prefix. sinceRevision is the last key of the
// previous page.
func (p *PlatformStore) list(w http.ResponseWriter, r *http.Request) {
	entries, at, err := p.Store.List(r.Context(), r.URL.Query().Get("pathPrefix"))
	if err != nil {
		p.writeError(w, err)
		return
	}
	items := p.PageItems
	if items == 0 {
		items = testPageItems
	}
	page, more := pageAfter(entries, r.URL.Query().Get("sinceRevision"), items)
	setEra(w, at.Era())
	writeJSON(w, platformRange{Entries: p.newItems(page), More: more, At: at.Revision()}, nil)
}

// pageAfter returns the page of entries that begins after a key, and whether more entries
// follow. entries must be sorted by key. A page has at least one entry if any is left.
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

// watch returns the changes under a prefix since a version as soon as there are any, or
// none after the wait.
func (p *PlatformStore) watch(w http.ResponseWriter, r *http.Request, faults PlatformFaults) {
	query := r.URL.Query()
	revision, revisionErr := strconv.ParseUint(query.Get("sinceRevision"), 10, 64)
	milliseconds, waitErr := strconv.Atoi(query.Get("waitMs"))
	if revisionErr != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	since := granitehoist.NewVersion(p.Store.Era(), revision)
	wait := time.Duration(milliseconds) * time.Millisecond
	if revision < faults.HistoryFrom {
		w.WriteHeader(http.StatusGone)
		return
	}
	if faults.DropWatches {
		pause.For(r.Context(), wait)
		panic(http.ErrAbortHandler)
	}
	entries, at, err := p.Store.Watch(r.Context(), query.Get("pathPrefix"), since, wait)
	if err != nil {
		p.writeError(w, err)
		return
	}
	setEra(w, at.Era())
	writeJSON(w, platformEvents{Events: p.newItems(entries), At: at.Revision()}, nil)
}

// write runs a transaction. It rejects transactions without a precondition for each
// written key.
func (p *PlatformStore) write(w http.ResponseWriter, r *http.Request) {
	var transaction platformTransaction
	if !decodeBody(w, r, &transaction) {
		return
	}
	if len(transaction.ExpectedRevision) != len(transaction.Put)+len(transaction.Delete) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	changes := transaction.changes(p.Store.Era())
	if status := rejection(changes); status != 0 {
		w.WriteHeader(status)
		return
	}
	version, err := p.Store.CompareAndSwapAll(r.Context(), changes)
	switch {
	case errors.Is(err, granitehoist.ErrConflict):
		p.writeConflict(w, r, changes)
	case err != nil:
		p.writeError(w, err)
	default:
		setEra(w, version.Era())
		writeJSON(w, transactionResult{ModRevision: version.Revision()}, nil)
	}
}

// foreignPrefixes are the prefixes of the keys that only operators and upstreams write.
var foreignPrefixes = []string{"op/", "servers/"}

// rejection returns the status of a transaction that the platform's store does not accept; zero if
// it does.
func rejection(changes []granitehoist.Change) int {
	for _, c := range changes {
		if len(c.Key) > granitehoist.MaxKeySize {
			return http.StatusBadRequest
		}
		if slices.ContainsFunc(foreignPrefixes, func(prefix string) bool { return strings.HasPrefix(c.Key, prefix) }) {
			return http.StatusForbidden
		}
	}
	return 0
}

// writeConflict writes the current entries of the keys of a failed transaction.
func (p *PlatformStore) writeConflict(w http.ResponseWriter, r *http.Request, changes []granitehoist.Change) {
	var items []platformItem
	for _, change := range changes {
		current, err := p.Store.Get(r.Context(), change.Key)
		if err != nil {
			p.writeError(w, err)
			return
		}
		items = append(items, p.newItem(current))
	}
	w.WriteHeader(http.StatusPreconditionFailed)
	writeJSON(w, transactionResult{Entries: items}, nil)
}

// grantLease grants a lease and returns its number.
func (p *PlatformStore) grantLease(w http.ResponseWriter, r *http.Request) {
	var lease platformLease
	if !decodeBody(w, r, &lease) {
		return
	}
	id, err := p.Store.GrantLease(r.Context(), time.Duration(lease.TTLMs)*time.Millisecond)
	if err != nil {
		p.writeError(w, err)
		return
	}
	number, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil {
		panic("standin: lease id is not a number: " + string(id))
	}
	writeJSON(w, platformLease{Lease: number, TTLMs: lease.TTLMs}, nil)
}

func (p *PlatformStore) renewLease(w http.ResponseWriter, r *http.Request, id granitehoist.LeaseID) {
	if err := p.Store.RenewLease(r.Context(), id); err != nil {
		p.writeError(w, err)
		return
	}
	writeJSON(w, platformLease{}, nil)
}
