// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"net/http"
	"strconv"
	"time"

	"granitehoist.example/granitehoist"
)

// options are the settings in the headers of a request.
type options struct {
	priority granitehoist.Priority
	// timeout is the time from the arrival of the headers to the end of the response.
	timeout time.Duration
	// once means that the request is not to be repeated.
	once bool
	// budget is a budget name within the workspace; empty means the budget of the key.
	budget string
}

// maxDeadline is the longest timeout that a caller may set.
const maxDeadline = 24 * time.Hour

// parseOptions parses the headers of a request. defaultTimeout applies to requests without
// a deadline. The error is a *granitehoist.Error with code BadHeader.
func parseOptions(header http.Header, defaultTimeout time.Duration) (options, error) {
	o := options{priority: granitehoist.DefaultPriority, timeout: defaultTimeout, budget: header.Get(HeaderBudget)}
	if err := o.parsePriority(header.Get(HeaderPriority)); err != nil {
		return o, err
	}
	if err := o.parseDeadline(header.Get(HeaderDeadline)); err != nil {
		return o, err
	}
	if err := o.parseOnce(header.Get(HeaderOnce)); err != nil {
		return o, err
	}
	if id := header.Get(HeaderRequest); id != "" && !validRequestID(id) {
		return o, granitehoist.Errorf(granitehoist.BadHeader, "%s must be 1 to %d printable ASCII characters without spaces, quotes and backslashes", HeaderRequest, maxRequestID)
	}
	return o, nil
}

// parsePriority parses a priority from 0 to 9; empty keeps the default.
func (o *options) parsePriority(text string) error {
	if text == "" {
		return nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < int(granitehoist.MinPriority) || n > int(granitehoist.MaxPriority) {
		return granitehoist.Errorf(granitehoist.BadHeader, "%s must be an integer from %d to %d", HeaderPriority, granitehoist.MinPriority, granitehoist.MaxPriority)
	}
	o.priority = granitehoist.Priority(n)
	return nil
}

// parseDeadline parses a timeout in milliseconds of at most maxDeadline; empty keeps the
// default.
func (o *options) parseDeadline(text string) error {
	if text == "" {
		return nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n <= 0 || n > maxDeadline.Milliseconds() {
		return granitehoist.Errorf(granitehoist.BadHeader, "%s must be an integer from 1 to %d, in milliseconds", HeaderDeadline, maxDeadline.Milliseconds())
	}
	o.timeout = time.Duration(n) * time.Millisecond
	return nil
}

// parseOnce parses a boolean as strconv.ParseBool does; empty means false.
func (o *options) parseOnce(text string) error {
	if text == "" {
		return nil
	}
	once, err := strconv.ParseBool(text)
	if err != nil {
		return granitehoist.Errorf(granitehoist.BadHeader, `%s must be "true" or "false"`, HeaderOnce)
	}
	o.once = once
	return nil
}
