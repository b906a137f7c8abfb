// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import "granitehoist.example/granitehoist"

// availability decides whether the router takes requests, and what it answers its
// balancer. The two differ on purpose while a router stops: the balancer sees it
// first, and requests are refused only after the balancer had time to react.
type availability struct {
	// unready is set at the start of a planned stop.
	unready bool
	// draining is set when requests are refused.
	draining bool
	// documents is the number of partners whose document is in force; without
	// one no key is valid.
	documents int
}

// refusal returns the reason to refuse all requests, nil if there is none.
func (a availability) refusal() error {
	switch {
	case a.draining:
		return granitehoist.Errorf(granitehoist.Draining, "")
	case a.documents == 0:
		return granitehoist.Errorf(granitehoist.NotReady, "")
	}
	return nil
}

// readiness is what balancers read.
type readiness struct {
	ready bool
	text  string
}

// readiness returns the answer to a balancer's question.
func (a availability) readiness() readiness {
	switch {
	case a.unready || a.draining:
		return readiness{text: "draining\n"}
	case a.documents == 0:
		return readiness{text: "no documents yet\n"}
	}
	return readiness{ready: true, text: "ready\n"}
}
