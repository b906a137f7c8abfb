// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package upstream

import (
	"context"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
)

// CancelRequest is the request body of PathCancel.
type CancelRequest struct {
	ID granitehoist.AttemptID `json:"id"`
}

// AttemptRecord is the state of an attempt as its engine reports it.
type AttemptRecord struct {
	ID    granitehoist.AttemptID `json:"id"`
	Ended bool                   `json:"ended"`
	// Usage is the cost of the attempt so far, which is final if Ended is set.
	Usage *EngineUsage `json:"usage"`
}

// Stop implements granitehoist.Protocol. It returns false if the engine doesn't report
// the usage of the attempt within lookupTimeout. The cause is not returned, since callers
// try again or charge an estimate whatever the cause.
func (e *Engine) Stop(ctx context.Context, address string, attempt granitehoist.AttemptID) (granitehoist.Usage, bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	request, err := sling.New().Base(address).Post(PathCancel).BodyJSON(CancelRequest{ID: attempt}).Request()
	if err != nil {
		return granitehoist.Usage{}, false
	}
	var record AttemptRecord
	response, err := sling.New().Client(e.sender.lookups).Do(request.WithContext(ctx), &record, nil)
	switch {
	case err != nil || response == nil:
		return granitehoist.Usage{}, false
	case response.StatusCode == http.StatusOK && record.ID == attempt && record.Ended && record.Usage != nil:
		usage := record.Usage.usage()
		return usage, usage.Reported
	}
	return granitehoist.Usage{}, false
}

// AttemptList is the response body of PathAttempts.
type AttemptList struct {
	Attempts []AttemptRecord `json:"attempts"`
}

// attemptQuery is the query string of PathAttempts.
type attemptQuery struct {
	Prefix string `url:"prefix"`
}

// List implements granitehoist.Protocol. It fails if the engine doesn't respond with
// status 200 within lookupTimeout.
func (e *Engine) List(ctx context.Context, address, prefix string) ([]granitehoist.KnownAttempt, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	request, err := sling.New().Base(address).Get(PathAttempts).QueryStruct(attemptQuery{Prefix: prefix}).Request()
	if err != nil {
		return nil, eris.Wrap(err, "upstream: build request to list attempts")
	}
	var list AttemptList
	response, err := sling.New().Client(e.sender.lookups).Do(request.WithContext(ctx), &list, nil)
	if err != nil {
		return nil, eris.Wrap(err, "upstream: list attempts")
	}
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("upstream: list attempts: status %d", response.StatusCode)
	}
	known := make([]granitehoist.KnownAttempt, len(list.Attempts))
	for i, a := range list.Attempts {
		known[i] = granitehoist.KnownAttempt{ID: a.ID, Ended: a.Ended, Usage: a.Usage.usage()}
	}
	return known, nil
}
