// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package trial

import (
	"encoding/hex"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
)

// The partners. Each has one region of the same name.
const (
	Tuul = "tuul"
	Lima = "lima"
)

// partners lists the partners of a fleet.
var partners = []granitehoist.Partner{Tuul, Lima}

// The models of the partners' engines.
const (
	TuulModel = "granite-8b"
	LimaModel = "asistente-7b"
)

const (
	// budgetName is the name of the single budget of each workspace.
	budgetName = "season"
	// smallBudget is the budget of the workspace that runs out of tokens.
	smallBudget = 2500
	// largeBudget is the budget of the other workspaces, in tokens.
	largeBudget = 50_000_000
	// plainPrice is the price of a request to a plain service, in tokens.
	plainPrice = 3
	// maxOutput limits an engine's output, in tokens.
	maxOutput = 64
)

// Key returns the key of a workspace, which is not random as a real one is.
func Key(w granitehoist.Workspace) string { return "trial-key-" + string(w) }

// addWorkspace adds a workspace with one budget and one key.
func addWorkspace(d *config.Document, w granitehoist.Workspace, tokens granitehoist.Tokens) {
	hash := config.HashKey(Key(w))
	d.Workspaces = append(d.Workspaces, config.Workspace{Name: w})
	d.Budgets = append(d.Budgets, config.Budget{Workspace: w, Name: budgetName, Tokens: tokens})
	d.Keys = append(d.Keys, config.Key{Workspace: w, Budget: budgetName, SHA256: hex.EncodeToString(hash[:])})
}

// tuulDocument returns the document of a partner with workspaces of a large budget, a
// budget that runs out, and a budget whose requests a policy denies.
func tuulDocument() *config.Document {
	d := &config.Document{
		Partner: Tuul,
		Services: []config.Service{
			{Name: "granite-pool", Kind: config.KindEngine, Models: []granitehoist.Model{TuulModel}, MaxOutput: maxOutput, DefaultOutput: maxOutput},
			{Name: "booking-desk", Kind: config.KindPlain, Price: plainPrice},
		},
		Policies: []config.Policy{
			{Name: "seasonal-work", Use: config.UseOwn, Permit: `workspace != "archive" || service == "booking-desk"`, Priority: `workspace == "lock-kiosks" ? 9 : priority`},
			{Name: "to-partner", Use: config.UseLend, Permit: `service == "granite-pool"`, Priority: "priority < 4 ? priority : 4"},
		},
	}
	addWorkspace(d, "lock-kiosks", largeBudget)
	addWorkspace(d, "booking-clerks", largeBudget)
	addWorkspace(d, "boat-club", smallBudget)
	addWorkspace(d, "archive", largeBudget)
	return d
}

// limaDocument returns the document of a partner whose plain service is not idempotent.
func limaDocument() *config.Document {
	d := &config.Document{
		Partner: Lima,
		Services: []config.Service{
			{Name: "asistente", Kind: config.KindEngine, Models: []granitehoist.Model{LimaModel}, MaxOutput: maxOutput, DefaultOutput: maxOutput},
			{Name: "estacion-api", Kind: config.KindPlain, Price: plainPrice, Once: true},
		},
		Policies: []config.Policy{
			{Name: "members", Use: config.UseOwn, Permit: "true", Priority: `workspace == "drivers" ? 9 : priority`},
			{Name: "to-partner", Use: config.UseLend, Permit: `service == "asistente" && workspace == "lock-kiosks"`, Priority: "3"},
		},
	}
	addWorkspace(d, "drivers", largeBudget)
	addWorkspace(d, "dispatch", largeBudget)
	addWorkspace(d, "accountants", largeBudget)
	return d
}
