// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
)

// CrossedTraffic is the part of an attempt that crossed to another zone or region.
type CrossedTraffic struct {
	balance.Crossing
	Service granitehoist.Service
	// Bytes counts the bodies of the request and of the relayed response.
	Bytes int64
	// PromptTokens is the length of the prompt.
	PromptTokens granitehoist.Tokens
}

// checkRegions refuses a request that no region may serve. A retry can't help, so that the
// refusal has no Retry-After.
func (a *activeRequest) checkRegions() error {
	rules := a.allowedRegions()
	if len(rules) == 0 || a.forwarder.settings.Table.AllowsAny(rules) {
		return nil
	}
	e := noRegionAllowed.error(a.timeLeft())
	e.Detail = "no region is allowed for the request"
	return e
}

// allowedRegions returns the region rules of the route and the workspace according to the
// configuration in force, which may be newer than that of the admission; usually there are
// none. A route or workspace that the newer configuration lacks keeps its rule.
func (a *activeRequest) allowedRegions() []balance.AllowedRegions {
	route, workspace := a.admission.route, a.admission.workspace
	if current := a.forwarder.settings.Catalog.Get(); current != nil && current.Version != a.admission.version {
		if newer := current.Match(a.request.Host, a.request.Path); newer != nil {
			route = newer
		}
		if workspace != nil && current.Workspaces()[workspace.Name] != nil {
			workspace = current.Workspaces()[workspace.Name]
		}
	}
	var rules []balance.AllowedRegions
	if len(route.AllowedRegions) > 0 {
		rules = append(rules, route.AllowedRegions)
	}
	if workspace != nil && len(workspace.AllowedRegions) > 0 {
		rules = append(rules, workspace.AllowedRegions)
	}
	return rules
}

// reportCrossing reports the traffic of an attempt that left the router's zone. relayed is
// the number of bytes relayed to the caller.
func (a *activeRequest) reportCrossing(lease *balance.Lease, relayed int64) {
	if lease.Crossing.To == "" || a.forwarder.settings.OnCrossing == nil {
		return
	}
	crossed := CrossedTraffic{Crossing: lease.Crossing, Service: a.admission.service.Name, Bytes: int64(len(a.request.Body)) + relayed}
	if a.request.MaxCost != nil {
		crossed.PromptTokens = a.request.MaxCost.Prompt
	}
	a.forwarder.settings.OnCrossing(crossed)
}
