// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import "net/http"

// readiness says whether a node can serve callers, or the first reason why not. The
// platform's load balancer checks it once a second and sends no new connections after two
// failed checks.
type readiness int

// The values of readiness.
const (
	// readyForCallers: new connections are accepted.
	readyForCallers readiness = iota
	// notReadyStopping: the process was ordered to stop.
	notReadyStopping
	// notReadyShedding: the box sheds callers since its link is nearly full
	// (shedding.go).
	notReadyShedding
	// notReadyNoConfig: no configuration has been read yet.
	notReadyNoConfig
	// notReadyNoInstances: the list of instances has not been read yet.
	notReadyNoInstances
	// notReadyNoEvidence: the evidence against requests that crash upstreams has not been
	// read yet.
	notReadyNoEvidence
	// notReadyIsolated: the node reaches no upstream, and another node may.
	notReadyIsolated
)

// readinessInputs holds what readiness depends on.
type readinessInputs struct {
	stopping bool
	shedding bool
	// hasConfig says that a configuration is active, however old.
	hasConfig bool
	// hasInstances says that the list of instances, possibly empty, has been read once,
	// from the store or from a neighbour.
	hasInstances bool
	// hasEvidence says that the evidence has been read, or that the wait for it is over.
	hasEvidence bool
	// isolated says that the node reaches no upstream, directly or through a neighbour, and
	// that another node may.
	isolated bool
}

// readiness decides whether a node is ready. The age of its data does not matter: a node
// that has lost the store continues to serve with its last copies and the tokens that it
// owns.
func (s readinessInputs) readiness() readiness {
	switch {
	case s.stopping:
		return notReadyStopping
	case s.shedding:
		return notReadyShedding
	case !s.hasConfig:
		return notReadyNoConfig
	case !s.hasInstances:
		return notReadyNoInstances
	case !s.hasEvidence:
		return notReadyNoEvidence
	case s.isolated:
		return notReadyIsolated
	default:
		return readyForCallers
	}
}

// asksCallersToReconnect decides whether responses ask callers to reconnect, so that they
// reach another node: while this one stops, its link is nearly full or it is isolated. A node without a
// configuration or instances does not, since the load balancer sends it callers only if
// no other node is ready.
func (s readinessInputs) asksCallersToReconnect() bool {
	return s.stopping || s.shedding || s.isolated
}

// readinessInputs collects the current inputs of readiness.
func (n *Node) readinessInputs() readinessInputs {
	return readinessInputs{
		stopping:     n.stopping.Load(),
		shedding:     n.shedding.Load(),
		hasConfig:    n.configs.catalog.Get() != nil,
		hasInstances: n.instances.follower.HasCopy(),
		hasEvidence:  n.components.suspects.gate.isOpen(),
		isolated:     n.components.path.isolated(n.clock()),
	}
}

// Ready reports whether the node can serve callers.
func (n *Node) Ready() bool { return n.readinessInputs().readiness() == readyForCallers }

// asksCallersToReconnect reports whether responses ask callers to reconnect. It runs for
// every request, so it reads no more than it needs.
func (n *Node) asksCallersToReconnect() bool {
	return readinessInputs{stopping: n.stopping.Load(), shedding: n.shedding.Load(), isolated: n.components.path.isolated(n.clock())}.asksCallersToReconnect()
}

// serveReady serves the platform's health checks.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
