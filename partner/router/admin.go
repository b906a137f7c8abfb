// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"encoding/json"
	"errors"
	"net/http"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/partner/report"
)

// Paths that operators use.
const (
	// PathDocuments is followed by a partner: GET answers the state of
	// its document, PUT applies one.
	PathDocuments = "/admin/documents/"
	PathBudgets   = "/admin/budgets"
	// PathBills takes form=charges, form=requests or, for sums, none.
	PathBills   = "/admin/bills"
	PathMembers = "/admin/members"
	// PathOrphans is followed by the incarnation of a dead router; POST settles
	// its attempts.
	PathOrphans = "/admin/orphans/"
	PathMetrics = "/metrics"
	// PathBurn answers the burn of the whole fleet.
	PathBurn = "/admin/burn"
)

// adminHandler returns the handler for operators and collectors of metrics.
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

// writeError refuses with an error's numbered code. The cause below it is not
// shown.
func writeError(w http.ResponseWriter, err error) {
	code := granitehoist.CodeOf(err)
	info := code.Info()
	message := info.Message
	var e *granitehoist.Error
	if errors.As(err, &e) {
		message = e.Message()
	}
	writeJSON(w, info.Status, AdminError{Code: int(code), Name: info.Name, Message: message, Fate: info.Fate})
}

// writeJSON answers with a value.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// The values are the package's own and encode; a write fails only if the reader has
	// closed its connection.
	_ = encoder.Encode(value)
}

// serveBudgets lists the state of every budget, from the store's pages.
func (r *Router) serveBudgets(w http.ResponseWriter, req *http.Request) {
	states, err := budget.ReadStates(req.Context(), r.settings.Store, r.settings.Router.Budget.Shards, r.settings.Clock())
	if err != nil {
		writeError(w, granitehoist.Wrap(granitehoist.StoreDown, err, ""))
		return
	}
	writeJSON(w, http.StatusOK, states.Of(r.View().Budgets(), r.prepaid))
}

// serveBills lists the charges in the store: as sums, by request, or one by one.
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
	writeJSON(w, http.StatusOK, r.store.members.View().Members())
}

func (r *Router) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	// It fails only if the reader has closed its connection.
	_ = report.WriteMetrics(w, r.metrics)
}
