// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import "net/http"

// readiness is whether a node can serve callers, or the first reason why not.
// The platform's balancer asks for it once a second. After two answers without a
// 200 it sends the node no new connections.
type readiness int

// The verdicts on readiness.
const (
	// readyForCallers: new connections are welcome.
	readyForCallers readiness = iota
	// notReadyLeaving: the process was ordered to stop.
	notReadyLeaving
	// notReadyShedding: the box's link is nearly full (shedding.go).
	notReadyShedding
	// notReadyNoConfig: no configuration was read yet.
	notReadyNoConfig
	// notReadyNoInstances: the list of instances was not read yet.
	notReadyNoInstances
	// notReadyNoEvidence: the evidence against requests that crash upstreams was not read
	// yet.
	notReadyNoEvidence
)

// readinessInputs is what readiness depends on.
type readinessInputs struct {
	leaving  bool
	shedding bool
	// hasConfig says that a configuration is in force, however old. A node that
	// loses the store stays ready with the last one.
	hasConfig bool
	// hasInstances says that the list of instances was read once, from the store
	// or from a neighbour, however long ago. It may be empty.
	hasInstances bool
	// hasEvidence says that the evidence was read, or that its time is over.
	hasEvidence bool
}

// readiness decides whether a node is ready. The age of its copies plays no
// part: a node that has lost the store serves on with its last copies and the
// tokens that it owns (docs/design/platform.md, "Start, stop, loss").
func (s readinessInputs) readiness() readiness {
	switch {
	case s.leaving:
		return notReadyLeaving
	case s.shedding:
		return notReadyShedding
	case !s.hasConfig:
		return notReadyNoConfig
	case !s.hasInstances:
		return notReadyNoInstances
	case !s.hasEvidence:
		return notReadyNoEvidence
	default:
		return readyForCallers
	}
}

// turnsCallersAway decides whether answers ask their callers to reconnect,
// so that they reach another node: while this one stops or its link is nearly
// full. A node that lacks a configuration or the list of instances does not: the
// balancer sends callers to such a node only if no other one is ready.
func (s readinessInputs) turnsCallersAway() bool { return s.leaving || s.shedding }

// readinessInputs gathers what readiness depends on.
func (n *Node) readinessInputs() readinessInputs {
	return readinessInputs{
		leaving:      n.leaving.Load(),
		shedding:     n.shedding.Load(),
		hasConfig:    n.configs.catalog.Get() != nil,
		hasInstances: n.instances.follower.HasCopy(),
		hasEvidence:  n.parts.suspects.gate.isOpen(),
	}
}

// Ready reports whether the node can serve callers.
func (n *Node) Ready() bool { return n.readinessInputs().readiness() == readyForCallers }

// turnsCallersAway reports whether answers ask their callers to reconnect.
// It runs on the path of every request, so it reads no more than it needs.
func (n *Node) turnsCallersAway() bool {
	return readinessInputs{leaving: n.leaving.Load(), shedding: n.shedding.Load()}.turnsCallersAway()
}

// serveReady answers the platform's health checks.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
