// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"golang.org/x/sync/errgroup"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/report"
)

// Paths of the operators' surface.
const (
	PathDocuments = "/admin/documents/"
	PathBudgets   = "/admin/budgets"
	PathBills     = "/admin/bills"
	PathMembers   = "/admin/members"
	PathOrphans   = "/admin/orphans/"
	PathMetrics   = "/metrics"
)

func (r *Router) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathDocuments+"{partner}", r.serveDocument)
	mux.HandleFunc("PUT "+PathDocuments+"{partner}", r.serveApply)
	mux.HandleFunc("GET "+PathBudgets, r.serveBudgets)
	mux.HandleFunc("GET "+PathBills, r.serveBills)
	mux.HandleFunc("GET "+PathMembers, r.serveMembers)
	mux.HandleFunc("POST "+PathOrphans+"{incarnation}", r.serveOrphans)
	mux.HandleFunc("GET "+PathBurn, r.serveBurn)
	mux.HandleFunc("GET "+PathMetrics, r.serveMetrics)
	return mux
}

// AdminError is the body of a refusal.
type AdminError struct {
	Code    int               `json:"code"`
	Name    string            `json:"name"`
	Message string            `json:"message"`
	Fate    granitehoist.Fate `json:"fate"`
}

func writeError(w http.ResponseWriter, err error) {
	code := granitehoist.CodeOf(err)
	info := code.Info()
	message := info.Message
	if e, ok := err.(*granitehoist.Error); ok {
		message = e.Message()
	}
	writeJSON(w, info.Status, AdminError{Code: int(code), Name: info.Name, Message: message, Fate: info.Fate})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// A reader that has gone is no failure.
	_ = encoder.Encode(value)
}

// DocumentState tells where a partner's document is in force.
type DocumentState struct {
	Partner granitehoist.Partner `json:"partner"`
	// Current is what stands in the store.
	Current config.Current `json:"current"`
	// InForce lists the boxes that serve by it and Waiting those that do not or
	// can't be asked. The document is accepted when Waiting is empty.
	InForce  []granitehoist.Box `json:"in_force"`
	Waiting  []granitehoist.Box `json:"waiting"`
	Accepted bool               `json:"accepted"`
}

func (r *Router) serveDocument(w http.ResponseWriter, req *http.Request) {
	state, err := r.documentState(req.Context(), granitehoist.Partner(req.PathValue("partner")))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, state)
}

func (r *Router) serveApply(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, req.Body, granitehoist.MaxValueSize))
	if err != nil {
		writeError(w, granitehoist.Wrap(granitehoist.BodyTooLarge, err, ""))
		return
	}
	trust, err := r.settings.Router.TrustedKeys()
	if err != nil {
		writeError(w, err)
		return
	}
	signed, err := config.Apply(req.Context(), r.settings.Store, trust, raw)
	if err != nil {
		writeError(w, err)
		return
	}
	state, err := r.documentState(req.Context(), signed.Partner)
	if err != nil {
		writeError(w, granitehoist.Wrap(granitehoist.DocumentPending, err, ""))
		return
	}
	status := http.StatusOK
	if !state.Accepted {
		status = http.StatusAccepted
	}
	writeJSON(w, status, state)
}

const methodSerials = "config.serials"

type serialsParams struct{}

type serialsResult struct {
	Serials map[granitehoist.Partner]granitehoist.Serial `json:"serials"`
}

func (r *Router) serveSerials(context.Context, serialsParams) (serialsResult, error) {
	return serialsResult{Serials: r.follower.View().Serials()}, nil
}

// documentState asks every router that may serve, by a list read from the
// store after the document.
func (r *Router) documentState(ctx context.Context, p granitehoist.Partner) (DocumentState, error) {
	current, err := config.ReadCurrent(ctx, r.settings.Store, p)
	if err != nil {
		return DocumentState{}, err
	}
	members, err := r.mayServe(ctx)
	if err != nil {
		return DocumentState{}, granitehoist.Wrap(granitehoist.StoreDown, err, "the list of routers")
	}
	serials := make([]granitehoist.Serial, len(members))
	var group errgroup.Group
	for i, m := range members {
		group.Go(func() error {
			serials[i] = r.serialAt(ctx, m, p)
			return nil
		})
	}
	_ = group.Wait()
	state := DocumentState{Partner: p, Current: current, InForce: []granitehoist.Box{}, Waiting: []granitehoist.Box{}}
	for i, m := range members {
		if serials[i] >= current.Signed.Serial {
			state.InForce = append(state.InForce, m.Box)
		} else {
			state.Waiting = append(state.Waiting, m.Box)
		}
	}
	state.Accepted = current.Version != 0 && len(state.Waiting) == 0
	return state, nil
}

// mayServe returns the routers that are not known to serve nothing. One whose
// lease has ended may be cut off and serve all the same; it is left out, and
// its entry removed, only when the platform does not list its box any more.
func (r *Router) mayServe(ctx context.Context) ([]fleet.Member, error) {
	entered, err := fleet.Serving(ctx, r.settings.Store)
	if err != nil {
		return nil, err
	}
	if err := r.registry.Refresh(ctx); err != nil {
		return nil, err
	}
	live := map[granitehoist.Incarnation]bool{}
	for _, m := range r.registry.View().Members() {
		live[m.Incarnation] = true
	}
	boxes, err := r.platformBoxes(ctx)
	if err != nil {
		return nil, err
	}
	var members []fleet.Member
	for _, m := range entered {
		_, boxListed := boxes[m.Box]
		if live[m.Incarnation] || boxListed || len(boxes) == 0 {
			members = append(members, m)
			continue
		}
		// If this fails the next look removes it.
		_ = fleet.Withdraw(ctx, r.settings.Store, m)
	}
	return members, nil
}

func (r *Router) platformBoxes(ctx context.Context) (map[granitehoist.Box]bool, error) {
	if r.settings.Platform == nil {
		return nil, nil
	}
	return r.settings.Platform.Boxes(ctx)
}

// serialAt returns the serial in force at a router, zero if it can't be asked.
func (r *Router) serialAt(ctx context.Context, m fleet.Member, p granitehoist.Partner) granitehoist.Serial {
	if m.Incarnation == r.self.Incarnation {
		return r.follower.View().Serial(p)
	}
	var result serialsResult
	if err := r.client.Call(ctx, m.Peer(), methodSerials, serialsParams{}, &result); err != nil {
		return 0
	}
	return result.Serials[p]
}

func (r *Router) serveBudgets(w http.ResponseWriter, req *http.Request) {
	states, err := budget.ReadStates(req.Context(), r.settings.Store, r.settings.Router.Budget.Shards, r.settings.Clock())
	if err != nil {
		writeError(w, granitehoist.Wrap(granitehoist.StoreDown, err, ""))
		return
	}
	writeJSON(w, http.StatusOK, states.Of(r.follower.View().Budgets(), r.prepaid))
}

func (r *Router) serveBills(w http.ResponseWriter, req *http.Request) {
	charges, err := bill.Read(req.Context(), r.settings.Store)
	if err != nil {
		writeError(w, granitehoist.Wrap(granitehoist.StoreDown, err, ""))
		return
	}
	switch req.URL.Query().Get("form") {
	case "charges":
		writeJSON(w, http.StatusOK, charges)
	case "requests":
		writeJSON(w, http.StatusOK, bill.Bills(charges))
	default:
		writeJSON(w, http.StatusOK, bill.Summarise(charges))
	}
}

func (r *Router) serveMembers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, r.registry.View().Members())
}

// serveOrphans takes an operator's word that a router is gone.
func (r *Router) serveOrphans(w http.ResponseWriter, req *http.Request) {
	dead := granitehoist.Incarnation(req.PathValue("incarnation"))
	for _, m := range r.registry.View().Members() {
		if m.Incarnation == dead {
			writeError(w, granitehoist.Errorf(granitehoist.RouterLive, "%s", dead))
			return
		}
	}
	result, err := r.SettleOrphans(req.Context(), dead, true)
	if err == nil {
		err = r.withdraw(req.Context(), dead)
	}
	if err != nil {
		writeError(w, granitehoist.Wrap(granitehoist.StoreDown, err, ""))
		return
	}
	writeJSON(w, http.StatusOK, result)
}

// withdraw removes a router that is gone from those that may serve.
func (r *Router) withdraw(ctx context.Context, dead granitehoist.Incarnation) error {
	entered, err := fleet.Serving(ctx, r.settings.Store)
	if err != nil {
		return err
	}
	for _, m := range entered {
		if m.Incarnation == dead {
			return fleet.Withdraw(ctx, r.settings.Store, m)
		}
	}
	return nil
}

func (r *Router) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	// A reader that has gone is no failure.
	_ = report.WriteMetrics(w, r.metrics)
}
