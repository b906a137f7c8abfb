// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import "granitehoist.example/granitehoist"

// availability is the state that decides whether the router accepts requests and what its
// readiness endpoint reports. During a planned stop the endpoint reports not ready first,
// and requests are refused only after load balancers had time to react.
type availability struct {
	// unready is set at the start of a planned stop.
	unready bool
	// draining is set once new requests are refused.
	draining bool
	// documents is the number of partners with a document in force. Without any, no key
	// is valid.
	documents int
}

// refusal returns the error with which all requests are refused, nil if there is none.
func (a availability) refusal() error {
	switch {
	case a.draining:
		return granitehoist.Errorf(granitehoist.Draining, "")
	case a.documents == 0:
		return granitehoist.Errorf(granitehoist.NotReady, "")
	}
	return nil
}

// readiness is the response of the readiness endpoint.
type readiness struct {
	ready bool
	text  string
}

// readiness returns the response for load balancers.
func (a availability) readiness() readiness {
	switch {
	case a.unready || a.draining:
		return readiness{text: "draining\n"}
	case a.documents == 0:
		return readiness{text: "no documents yet\n"}
	}
	return readiness{ready: true, text: "ready\n"}
}
