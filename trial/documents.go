// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package trial

import (
	"encoding/hex"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
)

// The partners, which are also the regions of today.
const (
	Tuul = "tuul"
	Lima = "lima"
)

// partners are those of the site.
var partners = []granitehoist.Partner{Tuul, Lima}

// Models offered by the partners.
const (
	TuulModel = "granite-8b"
	LimaModel = "asistente-7b"
)

const (
	// budgetName is the name of each workspace's one budget.
	budgetName = "season"
	// smallBudget is what the workspace that runs out has, in tokens.
	smallBudget = 2500
	// largeBudget is what the others have, in tokens.
	largeBudget = 50_000_000
	// plainPrice is what a request to a plain service costs, in tokens.
	plainPrice = 3
	// maxOutput bounds an engine's answer, in tokens.
	maxOutput = 64
)

// Key returns the trial's key of a workspace. A real key is random.
func Key(w granitehoist.Workspace) string { return "trial-key-" + string(w) }

// addCustomer adds a workspace with one budget and one key.
func addCustomer(d *config.Document, w granitehoist.Workspace, tokens granitehoist.Tokens) {
	hash := config.HashKey(Key(w))
	d.Workspaces = append(d.Workspaces, config.Workspace{Name: w})
	d.Budgets = append(d.Budgets, config.Budget{Workspace: w, Name: budgetName, Tokens: tokens})
	d.Keys = append(d.Keys, config.Key{Workspace: w, Budget: budgetName, SHA256: hex.EncodeToString(hash[:])})
}

// tuulDocument returns the document of a partner whose workspaces cover a large
// budget, one that runs out, and one that a policy denies.
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
	addCustomer(d, "lock-kiosks", largeBudget)
	addCustomer(d, "booking-clerks", largeBudget)
	addCustomer(d, "boat-club", smallBudget)
	addCustomer(d, "archive", largeBudget)
	return d
}

// limaDocument returns the document of a partner whose plain service must not be
// repeated.
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
	addCustomer(d, "drivers", largeBudget)
	addCustomer(d, "dispatch", largeBudget)
	addCustomer(d, "accountants", largeBudget)
	return d
}
