// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package store

import (
	"context"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// The paths of the service's protocol.
const (
	PathKeys   = "/v1/keys"
	PathChange = "/v1/change"
	PathWatch  = "/v1/watch"
	PathLeases = "/v1/leases"
	PathRenew  = "/v1/leases/renew"
	PathBoxes  = "/v1/boxes"
)

// The messages of the service's protocol.
type (
	// KeysQuery asks for one key or for all with a prefix.
	KeysQuery struct {
		Key    string `url:"key,omitempty"`
		Prefix string `url:"prefix,omitempty"`
	}
	// WatchQuery asks for what is newer than After under Prefix.
	WatchQuery struct {
		Prefix string               `url:"prefix"`
		After  granitehoist.Version `url:"after"`
		WaitMS int64                `url:"wait_ms"`
	}
	// Entries answers KeysQuery and WatchQuery.
	Entries struct {
		Entries []granitehoist.Entry `json:"entries"`
		Version granitehoist.Version `json:"version"`
	}
	// Written answers a change.
	Written struct {
		Version granitehoist.Version `json:"version"`
	}
	// Lease opens or names a lease.
	Lease struct {
		ID    granitehoist.LeaseID `json:"id,omitempty"`
		TTLMS int64                `json:"ttl_ms,omitempty"`
	}
	// BoxList is the platform's list; the value is true for a leaving box.
	BoxList struct {
		Boxes map[granitehoist.Box]bool `json:"boxes"`
	}
)

// HTTPSettings configure an HTTP adapter.
type HTTPSettings struct {
	// Address is the service's base URL.
	Address string
	// Timeout bounds each call; zero stands for DefaultTimeout.
	Timeout time.Duration
	// Watch bounds the wait of a watch; zero stands for DefaultWatch.
	Watch time.Duration
	// Client is used for the calls; nil stands for a client of its own.
	Client *http.Client
}

// Defaults of HTTPSettings.
const (
	DefaultTimeout = 2 * time.Second
	DefaultWatch   = 20 * time.Second
)

// HTTP is the platform's service reached by HTTP. It implements
// granitehoist.Store and granitehoist.Platform.
type HTTP struct {
	settings HTTPSettings
}

// NewHTTP returns an adapter. It panics if the address is empty.
func NewHTTP(s HTTPSettings) *HTTP {
	if s.Address == "" {
		panic("store: no address")
	}
	defaults.Set(&s.Timeout, DefaultTimeout)
	defaults.Set(&s.Watch, DefaultWatch)
	if s.Client == nil {
		s.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}}
	}
	return &HTTP{settings: s}
}

// Get implements granitehoist.Store.
func (h *HTTP) Get(ctx context.Context, key string) (granitehoist.Entry, error) {
	var found Entries
	if err := h.call(ctx, h.settings.Timeout, h.request().Get(PathKeys).QueryStruct(KeysQuery{Key: key}), &found); err != nil {
		return granitehoist.Entry{}, err
	}
	if len(found.Entries) == 0 {
		return granitehoist.Entry{Key: key}, nil
	}
	return found.Entries[0], nil
}

// List implements granitehoist.Store.
func (h *HTTP) List(ctx context.Context, prefix string) ([]granitehoist.Entry, granitehoist.Version, error) {
	var found Entries
	err := h.call(ctx, h.settings.Timeout, h.request().Get(PathKeys).QueryStruct(KeysQuery{Prefix: prefix}), &found)
	return found.Entries, found.Version, err
}

// CompareAndSwap implements granitehoist.Store.
func (h *HTTP) CompareAndSwap(ctx context.Context, change granitehoist.Change) (granitehoist.Version, error) {
	var written Written
	err := h.call(ctx, h.settings.Timeout, h.request().Post(PathChange).BodyJSON(change), &written)
	return written.Version, err
}

// watchGrace is added to a watch's own limit for the way there and back.
const watchGrace = 5 * time.Second

// Watch implements granitehoist.Store.
func (h *HTTP) Watch(ctx context.Context, prefix string, after granitehoist.Version, wait time.Duration) ([]granitehoist.Entry, granitehoist.Version, error) {
	var found Entries
	if wait <= 0 || wait > h.settings.Watch {
		wait = h.settings.Watch
	}
	query := WatchQuery{Prefix: prefix, After: after, WaitMS: wait.Milliseconds()}
	err := h.call(ctx, wait+watchGrace, h.request().Get(PathWatch).QueryStruct(query), &found)
	return found.Entries, found.Version, err
}

// GrantLease implements granitehoist.Store.
func (h *HTTP) GrantLease(ctx context.Context, ttl time.Duration) (granitehoist.LeaseID, error) {
	var lease Lease
	err := h.call(ctx, h.settings.Timeout, h.request().Post(PathLeases).BodyJSON(Lease{TTLMS: ttl.Milliseconds()}), &lease)
	return lease.ID, err
}

// RenewLease implements granitehoist.Store.
func (h *HTTP) RenewLease(ctx context.Context, id granitehoist.LeaseID) error {
	return h.call(ctx, h.settings.Timeout, h.request().Post(PathRenew).BodyJSON(Lease{ID: id}), &Lease{})
}

// Boxes implements granitehoist.Platform.
func (h *HTTP) Boxes(ctx context.Context) (map[granitehoist.Box]bool, error) {
	var list BoxList
	err := h.call(ctx, h.settings.Timeout, h.request().Get(PathBoxes), &list)
	return list.Boxes, err
}

func (h *HTTP) request() *sling.Sling {
	return sling.New().Client(h.settings.Client).Base(h.settings.Address)
}

// call sends a request and decodes a success into result. Statuses become the
// errors of granitehoist.Store.
func (h *HTTP) call(ctx context.Context, timeout time.Duration, s *sling.Sling, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := s.Request()
	if err != nil {
		return eris.Wrap(err, "store: request can't be made")
	}
	response, err := s.Do(request.WithContext(ctx), result, nil)
	if response != nil {
		if failure := statusError(response.StatusCode); failure != nil {
			return failure
		}
	}
	if err != nil {
		return eris.Wrap(granitehoist.ErrUnknown, err.Error())
	}
	return nil
}

// statusError returns the error that a status stands for. Every status that is
// neither success nor a known refusal leaves a write's outcome unknown.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return granitehoist.ErrConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return granitehoist.ErrUnavailable
	case http.StatusGone:
		return granitehoist.ErrNoLease
	}
	return eris.Wrapf(granitehoist.ErrUnknown, "status %d", status)
}
