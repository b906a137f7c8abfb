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

// CancelRequest is the body of PathCancel.
type CancelRequest struct {
	ID granitehoist.AttemptID `json:"id"`
}

// AttemptRecord is what an engine has on record of an attempt.
type AttemptRecord struct {
	ID    granitehoist.AttemptID `json:"id"`
	Ended bool                   `json:"ended"`
	// Usage is what the attempt cost so far; final once it has ended.
	Usage *EngineUsage `json:"usage"`
}

// Stop implements granitehoist.Protocol. It reports false if the engine does not
// say within lookupTimeout what the attempt cost. Its callers ask again
// or charge an estimate, whatever the error was.
func (e *Engine) Stop(ctx context.Context, address string, attempt granitehoist.AttemptID) (granitehoist.Usage, bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	request, err := sling.New().Base(address).Post(PathCancel).BodyJSON(CancelRequest{ID: attempt}).Request()
	if err != nil {
		return granitehoist.Usage{}, false
	}
	var record AttemptRecord
	response, err := sling.New().Client(e.sender.reusing).Do(request.WithContext(ctx), &record, nil)
	switch {
	case err != nil || response == nil:
		return granitehoist.Usage{}, false
	case response.StatusCode == http.StatusOK && record.ID == attempt && record.Ended && record.Usage != nil:
		usage := record.Usage.usage()
		return usage, usage.Reported
	}
	return granitehoist.Usage{}, false
}

// AttemptList is the answer of PathAttempts.
type AttemptList struct {
	Attempts []AttemptRecord `json:"attempts"`
}

// attemptQuery is the query of PathAttempts. Prefix begins the ids asked for.
type attemptQuery struct {
	Prefix string `url:"prefix"`
}

// List implements granitehoist.Protocol. The engine must answer within
// lookupTimeout.
func (e *Engine) List(ctx context.Context, address, prefix string) ([]granitehoist.KnownAttempt, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	request, err := sling.New().Base(address).Get(PathAttempts).QueryStruct(attemptQuery{Prefix: prefix}).Request()
	if err != nil {
		return nil, eris.Wrap(err, "upstream: request can't be made")
	}
	var list AttemptList
	response, err := sling.New().Client(e.sender.reusing).Do(request.WithContext(ctx), &list, nil)
	if err != nil {
		return nil, eris.Wrap(err, "upstream: list of attempts")
	}
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("upstream: list of attempts: status %d", response.StatusCode)
	}
	known := make([]granitehoist.KnownAttempt, len(list.Attempts))
	for i, a := range list.Attempts {
		known[i] = granitehoist.KnownAttempt{ID: a.ID, Ended: a.Ended, Usage: a.Usage.usage()}
	}
	return known, nil
}
