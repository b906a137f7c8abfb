// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"fmt"

	"granitehoist.example/granitehoist/partner/policy"
)

// Use selects the requests that a policy applies to.
type Use string

// The uses of a policy.
const (
	// UseOwn selects requests of the partner's own workspaces, on any capacity.
	UseOwn Use = "own"
	// UseLend selects requests of other partners' workspaces on the partner's
	// capacity.
	UseLend Use = "lend"
)

// Policy is the source of an access policy and the requests that it applies to.
type Policy struct {
	Name string `toml:"name"`
	Use  Use    `toml:"use"`
	// Permit and Priority are CEL programs; package policy lists their inputs. An
	// empty Priority keeps the request's own priority.
	Permit   string `toml:"permit"`
	Priority string `toml:"priority"`
}

// source returns the programs in the form that package policy compiles.
func (p Policy) source() policy.Source {
	return policy.Source{Name: p.Name, Permit: p.Permit, Priority: p.Priority}
}

// policies checks the policies by compiling them.
func (c checker) policies(d *Document) {
	seen := map[string]bool{}
	for i, p := range d.Policies {
		c.name("policy", i, "name", p.Name)
		c.unique(seen, "policy", i, "name", p.Name)
		if p.Use != UseOwn && p.Use != UseLend {
			c.add("policy", i, "use", fmt.Sprintf("%q is not a use", p.Use), `use "own" or "lend"`)
		}
		// policy.New returns only *policy.ProgramError errors.
		_, err := policy.New(p.source())
		if fault, ok := err.(*policy.ProgramError); ok {
			c.add("policy", i, fault.Program, fault.Reason, "correct the program; docs/OPERATIONS.md lists its inputs")
		}
	}
}
