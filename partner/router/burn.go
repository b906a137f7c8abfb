// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"context"
	"net/http"

	"golang.org/x/sync/errgroup"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/partner/report"
)

// PathBurn answers the burn of the whole fleet.
const PathBurn = "/admin/burn"

const methodBurn = "report.burn"

type burnParams struct{}

type burnResult struct {
	Rows []report.Row `json:"rows"`
}

func (r *Router) serveBurnRows(context.Context, burnParams) (burnResult, error) {
	return burnResult{Rows: r.burn.Rows(r.settings.Clock())}, nil
}

// serveBurn asks every router of the view. Those that can't be asked are named.
func (r *Router) serveBurn(w http.ResponseWriter, req *http.Request) {
	members := r.registry.View().Members()
	rows := make([][]report.Row, len(members))
	reached := make([]bool, len(members))
	var group errgroup.Group
	for i, m := range members {
		group.Go(func() error {
			rows[i], reached[i] = r.burnAt(req.Context(), m)
			return nil
		})
	}
	_ = group.Wait()
	burn := report.Burn{Asked: []granitehoist.Box{}, Unreached: []granitehoist.Box{}}
	for i, m := range members {
		if !reached[i] {
			burn.Unreached = append(burn.Unreached, m.Box)
			continue
		}
		burn.Asked = append(burn.Asked, m.Box)
		burn.Merge(rows[i])
	}
	writeJSON(w, http.StatusOK, burn)
}

func (r *Router) burnAt(ctx context.Context, m fleet.Member) ([]report.Row, bool) {
	if m.Incarnation == r.self.Incarnation {
		return r.burn.Rows(r.settings.Clock()), true
	}
	var result burnResult
	err := r.client.Call(ctx, m.Peer(), methodBurn, burnParams{}, &result)
	return result.Rows, err == nil
}
