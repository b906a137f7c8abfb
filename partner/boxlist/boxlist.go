// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package boxlist

import (
	"context"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
	"granitehoist.example/granitehoist/internal/httpvalid"
	"granitehoist.example/granitehoist/internal/readlimit"
)

// Path is the URL path of the platform's list of boxes.
const Path = "/v1/boxes"

// List is the body of the platform's response.
type List struct {
	// Boxes has an entry for each listed box; the value is true if the box is being
	// decommissioned.
	Boxes map[granitehoist.Box]bool `json:"boxes"`
}

// defaultTimeout bounds a call. It equals the polling interval of package partner/router,
// so that a poll ends before the next poll is due.
const defaultTimeout = 2 * time.Second

const (
	// idleConnTimeout is the time after which an unused connection is closed.
	idleConnTimeout = time.Minute
	// maxHeaderBytes and maxListBytes bound the header and the body of a response.
	maxHeaderBytes = 32 << 10
	maxListBytes   = 8 << 20
)

// Settings configure a Client.
type Settings struct {
	// Address is the base URL of the platform's service.
	Address string
	// Timeout bounds each call; zero means 2 s.
	Timeout time.Duration
	// Client sends the requests; nil means a new client with its own connections.
	Client *http.Client
}

// Client reads the platform's list of boxes. It implements granitehoist.Platform and is
// safe for concurrent use.
type Client struct {
	settings Settings
}

// New returns a client. It panics if the address is empty.
func New(s Settings) *Client {
	if s.Address == "" {
		panic("boxlist: Settings.Address is empty")
	}
	defaults.Set(&s.Timeout, defaultTimeout)
	if s.Client == nil {
		transport := &http.Transport{IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeaderBytes}
		s.Client = &http.Client{Transport: &readlimit.Transport{Base: &httpvalid.Transport{Base: transport}, MaxBytes: maxListBytes}}
	}
	return &Client{settings: s}
}

// Boxes implements granitehoist.Platform. It returns granitehoist.ErrUnavailable
// if the platform responds with status 429 or 503, and granitehoist.ErrUnknown
// if there is no response, any other status, or a body that can't be decoded.
func (c *Client) Boxes(ctx context.Context) (map[granitehoist.Box]bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	call := sling.New().Client(c.settings.Client).Base(c.settings.Address).Get(Path)
	request, err := call.Request()
	if err != nil {
		return nil, eris.Wrap(err, "boxlist: invalid request")
	}
	var list List
	response, err := call.Do(request.WithContext(ctx), &list, nil)
	if response != nil {
		if statusErr := statusError(response.StatusCode); statusErr != nil {
			return nil, statusErr
		}
	}
	if err != nil {
		return nil, eris.Wrap(granitehoist.ErrUnknown, err.Error())
	}
	return list.Boxes, nil
}

// statusError maps an HTTP status to an error, nil for 200.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return granitehoist.ErrUnavailable
	}
	return eris.Wrapf(granitehoist.ErrUnknown, "boxlist: unexpected status %d", status)
}
