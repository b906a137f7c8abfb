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

const methodBurn = "report.burn"

type burnResult struct {
	Rows []report.Row `json:"rows"`
}

// serveBurnRows answers another router with the burn at this one.
func (r *Router) serveBurnRows(context.Context, struct{}) (burnResult, error) {
	return burnResult{Rows: r.parts.burn.Rows(r.settings.Clock())}, nil
}

// memberBurn is the burn at one router.
type memberBurn struct {
	rows []report.Row
	// reached is false if the router could not be asked.
	reached bool
}

// serveBurn asks every router of the view, all at once. Those that can't be
// asked are named.
func (r *Router) serveBurn(w http.ResponseWriter, req *http.Request) {
	members := r.store.members.View().Members()
	burns := make([]memberBurn, len(members))
	var group sync.WaitGroup
	for i, m := range members {
		group.Go(func() { burns[i] = r.burnAt(req.Context(), m) })
	}
	group.Wait()
	burn := report.Burn{Asked: []granitehoist.Box{}, Unreached: []granitehoist.Box{}}
	for i, m := range members {
		if !burns[i].reached {
			burn.Unreached = append(burn.Unreached, m.Box)
			continue
		}
		burn.Asked = append(burn.Asked, m.Box)
		burn.Merge(burns[i].rows)
	}
	writeJSON(w, http.StatusOK, burn)
}

func (r *Router) burnAt(ctx context.Context, m fleet.Member) memberBurn {
	if m.Incarnation == r.self.Incarnation {
		return memberBurn{r.parts.burn.Rows(r.settings.Clock()), true}
	}
	var result burnResult
	err := r.parts.client.Call(ctx, m.Peer(), methodBurn, struct{}{}, &result)
	return memberBurn{result.Rows, err == nil}
}
