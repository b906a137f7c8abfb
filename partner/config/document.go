// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/tomlfile"
)

// Document is the configuration of one partner, which operators write in TOML.
type Document struct {
	Partner    granitehoist.Partner `toml:"partner"`
	Services   []Service            `toml:"service"`
	Upstreams  []Upstream           `toml:"upstream"`
	Workspaces []Workspace          `toml:"workspace"`
	Keys       []Key                `toml:"key"`
	Budgets    []Budget             `toml:"budget"`
	Policies   []Policy             `toml:"policy"`
}

// Parse decodes and validates a document. Its error is of type tomlfile.Faults and holds
// all faults; file is the name that they report.
func Parse(file string, text []byte) (*Document, error) {
	var d Document
	if faults := tomlfile.Decode(file, text, &d); len(faults) > 0 {
		return nil, faults
	}
	c := checker{tomlfile.NewChecker(file, text)}
	c.document(&d)
	if faults := c.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return &d, nil
}

// document checks all parts of a document. A part that other parts refer to is checked
// before them.
func (c checker) document(d *Document) {
	c.name("", 0, "partner", string(d.Partner))
	services := c.services(d)
	c.upstreams(d, services)
	workspaces := map[string]bool{}
	for i, w := range d.Workspaces {
		c.name("workspace", i, "name", string(w.Name))
		c.unique(workspaces, "workspace", i, "name", string(w.Name))
	}
	budgets := c.budgets(d, workspaces)
	c.keys(d, workspaces, budgets)
	c.policies(d)
}
