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

// KeyPrefix begins the store keys of all records.
const KeyPrefix = "once/"

// State is the execution state of a bound request.
type State string

// The states of a record.
const (
	// Bound means that an attempt may be running or may have run.
	Bound State = "bound"
	// Done means that the upstream has responded.
	Done State = "done"
	// Released means that no attempt ran, so that the request may be bound again. The
	// stored value stays for compatibility.
	Released State = "free"
)

// Record is the stored state of one request.
type Record struct {
	// Attempt is the first attempt of the binding. Further attempts at other
	// upstreams don't change it.
	Attempt granitehoist.AttemptID `json:"attempt"`
	State   State                  `json:"state"`
	// Status is the HTTP status of the upstream's response if State is Done.
	Status int `json:"status,omitempty"`
	// At is the time of the write, by the clock of the router that wrote it.
	At time.Time `json:"at"`
}

// RequestKey identifies a request that is not to be repeated.
type RequestKey struct {
	Partner   granitehoist.Partner
	Workspace granitehoist.Workspace
	Request   granitehoist.RequestID
}

// key returns the store key of the request's record. It hashes the request id,
// which the caller chooses and which may be long or contain slashes.
func (k RequestKey) key() string {
	sum := sha256.Sum256([]byte(k.Request))
	return KeyPrefix + string(k.Partner) + "/" + string(k.Workspace) + "/" + hex.EncodeToString(sum[:])
}

// checkBindable returns nil if the store entry of a request allows binding it: there
// is no record, or the record says that no attempt ran. Bound records don't expire,
// since a paused router may still send the request. The error is a
// *granitehoist.Error with code AlreadyRun or OnceUnsure.
func checkBindable(e granitehoist.Entry) error {
	if e.Version == 0 {
		return nil
	}
	var record Record
	if err := json.Unmarshal(e.Value, &record); err != nil {
		return granitehoist.Wrap(granitehoist.OnceUnsure, err, "can't decode the record of the request")
	}
	switch record.State {
	case Released:
		return nil
	case Done:
		return granitehoist.Errorf(granitehoist.AlreadyRun, "the upstream responded with status %d at %s", record.Status, record.At.UTC().Format(time.RFC3339))
	}
	return granitehoist.Errorf(granitehoist.OnceUnsure, "an attempt started at %s and has no recorded result", record.At.UTC().Format(time.RFC3339))
}
