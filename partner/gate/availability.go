// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import "granitehoist.example/granitehoist"

// availability decides whether the router takes requests, and what its balancer
// hears. The two differ on purpose while a router stops: balancers are turned
// away first, requests are refused only after they had time to notice.
type availability struct {
	// unready is set at the start of a planned stop.
	unready bool
	// draining is set when requests are refused.
	draining bool
	// documents is the number of partners whose document is in force; without
	// one no key is known.
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
