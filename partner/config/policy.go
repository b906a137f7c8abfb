// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"fmt"

	"granitehoist.example/granitehoist/partner/policy"
)

// Use tells which requests a policy is for.
type Use string

// The uses of a policy.
const (
	// UseOwn is for requests of the partner's own workspaces, on any capacity.
	UseOwn Use = "own"
	// UseLend is for requests of other partners' workspaces on the partner's
	// capacity.
	UseLend Use = "lend"
)

// Policy is the source of a policy and its use.
type Policy struct {
	Name     string `toml:"name"`
	Use      Use    `toml:"use"`
	Permit   string `toml:"permit"`
	Priority string `toml:"priority"`
}

func (p Policy) source() policy.Source {
	return policy.Source{Name: p.Name, Permit: p.Permit, Priority: p.Priority}
}

func (c checker) policies(d *Document) {
	seen := map[string]bool{}
	for i, p := range d.Policies {
		c.name("policy", i, "name", p.Name)
		c.unique(seen, "policy", i, "name", p.Name)
		if p.Use != UseOwn && p.Use != UseLend {
			c.add("policy", i, "use", fmt.Sprintf("%q is no use", p.Use), `use "own" or "lend"`)
		}
		_, err := policy.New(p.source())
		if fault, ok := err.(*policy.Fault); ok {
			c.add("policy", i, fault.Program, fault.Reason, "correct the program; docs/OPERATIONS.md lists its inputs")
		}
	}
}
