// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"net/http"
	"strconv"
	"time"

	"granitehoist.example/granitehoist"
)

// options is what a caller's headers ask for.
type options struct {
	priority granitehoist.Priority
	// timeout is the time from the arrival of the headers in which the request
	// is to be answered.
	timeout time.Duration
	// once says that the request is not to be repeated.
	once bool
	// budget is a name within the workspace; empty stands for the key's budget.
	budget string
}

// maxDeadline bounds the deadline that a caller may name.
const maxDeadline = 24 * time.Hour

// parseOptions reads a request's headers. defaultTimeout is the time of a
// request that names no deadline. Its errors are *Error with code BadHeader.
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
		return o, granitehoist.Errorf(granitehoist.BadHeader, "%s is 1 to %d printable characters without spaces, quotes and backslashes", HeaderRequest, maxRequestID)
	}
	return o, nil
}

// parsePriority takes 0 to 9.
func (o *options) parsePriority(text string) error {
	if text == "" {
		return nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < int(granitehoist.MinPriority) || n > int(granitehoist.MaxPriority) {
		return granitehoist.Errorf(granitehoist.BadHeader, "%s is a number from %d to %d", HeaderPriority, granitehoist.MinPriority, granitehoist.MaxPriority)
	}
	o.priority = granitehoist.Priority(n)
	return nil
}

// parseDeadline takes milliseconds up to maxDeadline.
func (o *options) parseDeadline(text string) error {
	if text == "" {
		return nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n <= 0 || n > maxDeadline.Milliseconds() {
		return granitehoist.Errorf(granitehoist.BadHeader, "%s is a number of milliseconds from 1 to %d", HeaderDeadline, maxDeadline.Milliseconds())
	}
	o.timeout = time.Duration(n) * time.Millisecond
	return nil
}

// parseOnce takes what strconv.ParseBool does.
func (o *options) parseOnce(text string) error {
	if text == "" {
		return nil
	}
	once, err := strconv.ParseBool(text)
	if err != nil {
		return granitehoist.Errorf(granitehoist.BadHeader, `%s is "true" or "false"`, HeaderOnce)
	}
	o.once = once
	return nil
}
