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

// URL paths of the admin server.
const (
	// PathDocuments is followed by a partner: GET returns the state of its document,
	// PUT applies a signed document.
	PathDocuments = "/admin/documents/"
	// PathBudgets returns the state of every budget.
	PathBudgets = "/admin/budgets"
	// PathBills returns bills: charges with form=charges, bills by request with
	// form=requests, and totals by budget without form.
	PathBills = "/admin/bills"
	// PathMembers returns the members of the fleet.
	PathMembers = "/admin/members"
	// PathOrphans is followed by the incarnation of a crashed router; POST charges its
	// attempts.
	PathOrphans = "/admin/orphans/"
	// PathMetrics returns this router's metrics in the Prometheus text format.
	PathMetrics = "/metrics"
	// PathBurn returns the burn-rate report of the whole fleet.
	PathBurn = "/admin/burn"
)

// adminHandler returns the handler of the admin server.
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

// AdminError is the JSON body of an error response.
type AdminError struct {
	Code      int                          `json:"code"`
	Name      string                       `json:"name"`
	Message   string                       `json:"message"`
	Execution granitehoist.ExecutionStatus `json:"fate"`
}

// writeError responds with the code, status and message of an error. Its wrapped cause is
// not disclosed.
func writeError(w http.ResponseWriter, err error) {
	code := granitehoist.CodeOf(err)
	info := code.Info()
	message := info.Message
	var e *granitehoist.Error
	if errors.As(err, &e) {
		message = e.Message()
	}
	writeJSON(w, info.Status, AdminError{Code: int(code), Name: info.Name, Message: message, Execution: info.Execution})
}

// writeJSON responds with a value as indented JSON.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// All values passed here can be encoded; a write fails only if the client is gone.
	_ = encoder.Encode(value)
}

// serveBudgets returns the state of every budget, as recorded in the store.
func (r *Router) serveBudgets(w http.ResponseWriter, req *http.Request) {
	states, err := budget.ReadStates(req.Context(), r.settings.Store, r.settings.Router.Budget.Shards, r.settings.Clock())
	if err != nil {
		writeError(w, granitehoist.Wrap(granitehoist.StoreDown, err, ""))
		return
	}
	writeJSON(w, http.StatusOK, states.Of(r.View().Budgets(), r.prepaid))
}

// serveBills returns the charges in the store: in total, by request, or individually.
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
	// A write fails only if the client is gone.
	_ = report.WriteMetrics(w, r.metrics)
}
