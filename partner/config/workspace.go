// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"granitehoist.example/granitehoist"
)

// Workspace is a customer of a partner.
type Workspace struct {
	Name granitehoist.Workspace `toml:"name"`
}

// Key is an API key that authenticates callers of a workspace. The document holds only
// its hash.
type Key struct {
	Workspace granitehoist.Workspace `toml:"workspace"`
	// Budget names the budget that is charged if the caller names none.
	Budget string `toml:"budget"`
	// SHA256 is the SHA-256 hash of the key, in hexadecimal.
	SHA256 string `toml:"sha256"`
}

// Budget is an amount of prepaid tokens of a workspace.
type Budget struct {
	Workspace granitehoist.Workspace `toml:"workspace"`
	Name      string                 `toml:"name"`
	// Tokens is the cumulative amount prepaid; a top-up increases it.
	Tokens granitehoist.Tokens `toml:"tokens"`
}

// budgets checks the budgets, given the names of the workspaces, and returns the set of
// their names in the form "workspace/name".
func (c checker) budgets(d *Document, workspaces map[string]bool) map[string]bool {
	budgets := map[string]bool{}
	for i, b := range d.Budgets {
		c.name("budget", i, "name", b.Name)
		if !workspaces[string(b.Workspace)] {
			c.add("budget", i, "workspace", fmt.Sprintf("no workspace %q in this document", b.Workspace), "name one of its workspaces")
		}
		c.unique(budgets, "budget", i, "name", string(b.Workspace)+"/"+b.Name)
		c.tokens("budget", i, "tokens", b.Tokens, 0)
	}
	return budgets
}

// keys checks the API keys, given the names of the workspaces and budgets.
func (c checker) keys(d *Document, workspaces, budgets map[string]bool) {
	seen := map[string]bool{}
	for i, k := range d.Keys {
		if !workspaces[string(k.Workspace)] {
			c.add("key", i, "workspace", fmt.Sprintf("no workspace %q in this document", k.Workspace), "name one of its workspaces")
		}
		if !budgets[string(k.Workspace)+"/"+k.Budget] {
			c.add("key", i, "budget", fmt.Sprintf("workspace %q has no budget %q", k.Workspace, k.Budget), "name one of its budgets")
		}
		raw, err := hex.DecodeString(k.SHA256)
		if err != nil || len(raw) != sha256.Size {
			c.add("key", i, "sha256", "is not a hexadecimal SHA-256 hash", "write the 64 hexadecimal digits that \"granitehoist keys caller\" prints")
		}
		c.unique(seen, "key", i, "sha256", strings.ToLower(k.SHA256))
	}
}
