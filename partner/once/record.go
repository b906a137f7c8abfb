// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package once

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"granitehoist.example/granitehoist"
)

// KeyPrefix is where records stand in the store.
const KeyPrefix = "once/"

// State says what may have happened to a bound request.
type State string

// The states of a record.
const (
	// Bound says that an attempt may be running or may have run.
	Bound State = "bound"
	// Done says that the upstream has answered.
	Done State = "done"
	// Free says that the attempt did not run, and that the request may be
	// bound again.
	Free State = "free"
)

// Record is what stands in the store of one request.
type Record struct {
	// Attempt is the first that was bound; attempts that follow at other upstreams
	// keep it.
	Attempt granitehoist.AttemptID `json:"attempt"`
	State   State                  `json:"state"`
	// Status is the upstream's HTTP status if State is Done.
	Status int `json:"status,omitempty"`
	// At is when the record was written, by the clock of the router that did.
	At time.Time `json:"at"`
}

// Subject names a request not to be repeated.
type Subject struct {
	Partner   granitehoist.Partner
	Workspace granitehoist.Workspace
	Request   granitehoist.RequestID
}

// key hashes the request id, since callers choose it.
func (s Subject) key() string {
	sum := sha256.Sum256([]byte(s.Request))
	return KeyPrefix + string(s.Partner) + "/" + string(s.Workspace) + "/" + hex.EncodeToString(sum[:])
}

// mayBind decides whether a request may be bound, from its entry in the store: if
// there is none, or if its record says that no attempt ran. It returns nil
// then. No clock is asked: a record that is bound stays so until its own router
// ends it, since a paused router may still send. Its errors are *Error with codes
// AlreadyRun and OnceUnsure.
func mayBind(e granitehoist.Entry) error {
	if e.Version == 0 {
		return nil
	}
	var record Record
	if err := json.Unmarshal(e.Value, &record); err != nil {
		return granitehoist.Wrap(granitehoist.OnceUnsure, err, "the record can't be read")
	}
	switch record.State {
	case Free:
		return nil
	case Done:
		return granitehoist.Errorf(granitehoist.AlreadyRun, "the upstream answered status %d at %s", record.Status, record.At.UTC().Format(time.RFC3339))
	}
	return granitehoist.Errorf(granitehoist.OnceUnsure, "an attempt was begun at %s", record.At.UTC().Format(time.RFC3339))
}
