// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import "granitehoist.example/granitehoist"

// MethodReport is the method by which a router reports on an order and learns its state.
const MethodReport = "rollout.report"

// ReportParams is what a router says of an order in progress.
type ReportParams struct {
	Service     granitehoist.Service     `json:"service"`
	Order       granitehoist.Version     `json:"order"`
	Box         granitehoist.Box         `json:"box"`
	Incarnation granitehoist.Incarnation `json:"incarnation"`
	// State is nil while the router does not know the state.
	State    *State   `json:"state,omitempty"`
	Evidence Evidence `json:"evidence"`
	// InFlight is the number of its attempts in progress at other releases than the target.
	InFlight int `json:"in_flight,omitempty"`
	// Passive says that another router should lead: the sender has lost the store, has just
	// started, or stops.
	Passive bool `json:"passive,omitempty"`
}

// ReportResult is the answer to a report.
type ReportResult struct {
	// State is the state of the order as the receiver knows it. It is nil if the receiver
	// does not know the order or its state.
	State *State `json:"state,omitempty"`
	// Passive is ReportParams.Passive of the receiver, and set if it does not know the order.
	Passive bool `json:"passive,omitempty"`
}
