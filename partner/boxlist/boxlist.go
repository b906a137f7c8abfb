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
)

// Path is where the platform serves the list.
const Path = "/v1/boxes"

// List is the platform's answer.
type List struct {
	// Boxes has an entry for each listed box, true for one that is leaving.
	Boxes map[granitehoist.Box]bool `json:"boxes"`
}

// defaultTimeout bounds a call. It is the interval at which package partner/router reads
// the list.
const defaultTimeout = 2 * time.Second

// idleTime closes connections that no call has used.
const idleTime = time.Minute

// Settings configure a Client.
type Settings struct {
	// Address is the base URL of the platform's service.
	Address string
	// Timeout bounds each call; zero stands for defaultTimeout.
	Timeout time.Duration
	// Client makes the calls; nil stands for a client of its own.
	Client *http.Client
}

// Client reads the list. It implements granitehoist.Platform.
type Client struct {
	settings Settings
}

// New returns a client. It panics if the address is empty.
func New(s Settings) *Client {
	if s.Address == "" {
		panic("boxlist: no address")
	}
	defaults.Set(&s.Timeout, defaultTimeout)
	if s.Client == nil {
		s.Client = &http.Client{Transport: &http.Transport{IdleConnTimeout: idleTime}}
	}
	return &Client{settings: s}
}

// Boxes implements granitehoist.Platform. It returns granitehoist.ErrUnavailable
// if the platform refuses the call with 429 or 503, and granitehoist.ErrUnknown
// if no answer comes, the status is another one or the answer can't be decoded.
func (c *Client) Boxes(ctx context.Context) (map[granitehoist.Box]bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	call := sling.New().Client(c.settings.Client).Base(c.settings.Address).Get(Path)
	request, err := call.Request()
	if err != nil {
		return nil, eris.Wrap(err, "boxlist: request can't be made")
	}
	var list List
	response, err := call.Do(request.WithContext(ctx), &list, nil)
	if response != nil {
		if refusal := statusError(response.StatusCode); refusal != nil {
			return nil, refusal
		}
	}
	if err != nil {
		return nil, eris.Wrap(granitehoist.ErrUnknown, err.Error())
	}
	return list.Boxes, nil
}

// statusError returns the error that a status stands for, nil for a success.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return granitehoist.ErrUnavailable
	}
	return eris.Wrapf(granitehoist.ErrUnknown, "boxlist: status %d", status)
}
