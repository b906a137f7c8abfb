// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"context"
	"net/http"
	"sync"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/partner/report"
)

// methodBurn is the method by which routers request each other's burn counts.
const methodBurn = "report.burn"

// burnResult is the result of methodBurn.
type burnResult struct {
	Rows []report.Row `json:"rows"`
}

// serveBurnRows handles methodBurn.
func (r *Router) serveBurnRows(context.Context, struct{}) (burnResult, error) {
	return burnResult{Rows: r.components.burn.Rows(r.settings.Clock())}, nil
}

// memberBurn holds the burn counts of one router.
type memberBurn struct {
	rows []report.Row
	// reached is false if the call to the router failed.
	reached bool
}

// serveBurn merges the burn counts of all routers in the fleet view, which it queries
// concurrently. The report lists the boxes of unreached routers.
func (r *Router) serveBurn(w http.ResponseWriter, req *http.Request) {
	members := r.store.members.View().Members()
	burns := make([]memberBurn, len(members))
	var group sync.WaitGroup
	for i, m := range members {
		group.Go(func() { burns[i] = r.burnAt(req.Context(), m) })
	}
	group.Wait()
	burn := report.BurnReport{Asked: []granitehoist.Box{}, Unreachable: []granitehoist.Box{}}
	for i, m := range members {
		if !burns[i].reached {
			burn.Unreachable = append(burn.Unreachable, m.Box)
			continue
		}
		burn.Asked = append(burn.Asked, m.Box)
		burn.Merge(burns[i].rows)
	}
	writeJSON(w, http.StatusOK, burn)
}

// burnAt returns the burn counts of one router.
func (r *Router) burnAt(ctx context.Context, m fleet.Member) memberBurn {
	if m.Incarnation == r.self.Incarnation {
		return memberBurn{r.components.burn.Rows(r.settings.Clock()), true}
	}
	var result burnResult
	err := r.components.client.Call(ctx, m.Peer(), methodBurn, struct{}{}, &result)
	return memberBurn{result.Rows, err == nil}
}
