// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/tomlfile"
	"granitehoist.example/granitehoist/partner/policy"
)

// checker checks a document that was decoded, and collects its faults.
type checker struct {
	*tomlfile.Checker
}

// add records a fault in the index-th table named table, or in the keys before
// the first table if table is empty.
func (c checker) add(table string, index int, key, reason, remedy string) {
	c.Add(tomlfile.Key{Table: table, Index: index, Name: key}, reason, remedy)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const (
	nameReason = "is not a name"
	nameRemedy = "use 1 to 63 of a-z, 0-9, dot, dash and underscore, a letter or digit first"
	// MaxTokens bounds the amounts that a document may name, so that sums of
	// all budgets stay far from overflow.
	MaxTokens granitehoist.Tokens = 1 << 50
)

func (c checker) name(table string, index int, key, value string) {
	if !namePattern.MatchString(value) {
		c.add(table, index, key, fmt.Sprintf("%q %s", value, nameReason), nameRemedy)
	}
}

func (c checker) unique(seen map[string]bool, table string, index int, key, value string) {
	if seen[value] {
		c.add(table, index, key, fmt.Sprintf("%q stands twice", value), "give each its own name")
	}
	seen[value] = true
}

func (c checker) tokens(table string, index int, key string, value, least granitehoist.Tokens) {
	if value < least || value > MaxTokens {
		c.add(table, index, key, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("use %d to %d", least, MaxTokens))
	}
}

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

func (c checker) services(d *Document) map[string]bool {
	services := map[string]bool{}
	models := map[string]bool{}
	for i, s := range d.Services {
		c.name("service", i, "name", string(s.Name))
		c.unique(services, "service", i, "name", string(s.Name))
		switch s.Kind {
		case KindEngine:
			c.engine(i, s, models)
		case KindPlain:
			c.tokens("service", i, "price", s.Price, 0)
		default:
			c.add("service", i, "kind", fmt.Sprintf("%q is no kind", s.Kind), `use "engine" or "plain"`)
		}
	}
	return services
}

func (c checker) engine(i int, s Service, models map[string]bool) {
	if len(s.Models) == 0 {
		c.add("service", i, "models", "an engine service offers no model", "name at least one model")
	}
	for _, m := range s.Models {
		c.unique(models, "service", i, "models", string(m))
	}
	c.tokens("service", i, "max_output", s.MaxOutput, 1)
	c.tokens("service", i, "default_output", s.DefaultOutput, 1)
	if s.DefaultOutput > s.MaxOutput {
		c.add("service", i, "default_output", "is larger than max_output", "lower it or raise max_output")
	}
}

func (c checker) upstreams(d *Document, services map[string]bool) {
	seen := map[string]bool{}
	for i, u := range d.Upstreams {
		c.name("upstream", i, "name", string(u.Name))
		c.unique(seen, "upstream", i, "name", string(u.Name))
		if !services[string(u.Service)] {
			c.add("upstream", i, "service", fmt.Sprintf("no service %q in this document", u.Service), "name one of its services")
		}
		if !tomlfile.IsURL(u.Address) {
			c.add("upstream", i, "address", fmt.Sprintf("%q is no address", u.Address), `write it as "http://127.0.0.1:9001"`)
		}
		if u.Concurrency < 0 {
			c.add("upstream", i, "concurrency", "is negative", "use 1 or more, or leave it out")
		}
	}
}

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

const sha256Bytes = 32

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
		if err != nil || len(raw) != sha256Bytes {
			c.add("key", i, "sha256", "is no SHA-256", "write the 64 hexadecimal digits that \"granitehoist keys caller\" prints")
		}
		c.unique(seen, "key", i, "sha256", strings.ToLower(k.SHA256))
	}
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
