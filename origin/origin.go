// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package origin

import "granitehoist.example/granitehoist"

// Stream identifies a stream by the request that brought the caller its first event.
// Request ids are chosen by callers, so that only those of one workspace are compared.
type Stream struct {
	// Workspace is empty on routes that need no key.
	Workspace granitehoist.Workspace `json:"workspace,omitempty"`
	Request   granitehoist.RequestID `json:"request"`
}

// Origin is where a stream began: its service and the release of the upstream's software.
type Origin struct {
	Service granitehoist.Service `json:"service"`
	// Release is empty if the upstream states none, which counts as a release of its own.
	Release granitehoist.Release `json:"release,omitempty"`
}

// Record says where a stream began.
type Record struct {
	Stream
	Origin
	// KeepMS is how long the record is needed from its arrival on, in milliseconds.
	KeepMS int64 `json:"keep_ms"`
}
