// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/tomlfile"
	"granitehoist.example/granitehoist/partner/policy"
)

// Document is what the operators of one partner decide.
type Document struct {
	Partner    granitehoist.Partner `toml:"partner"`
	Services   []Service            `toml:"service"`
	Upstreams  []Upstream           `toml:"upstream"`
	Workspaces []Workspace          `toml:"workspace"`
	Keys       []Key                `toml:"key"`
	Budgets    []Budget             `toml:"budget"`
	Policies   []Policy             `toml:"policy"`
}

// Kind tells which protocol a service speaks.
type Kind string

// The kinds of services.
const (
	// KindEngine is a model engine that speaks the OpenAI-compatible protocol.
	KindEngine Kind = "engine"
	// KindPlain is any other HTTP service.
	KindPlain Kind = "plain"
)

// Service is a group of upstreams of one kind.
type Service struct {
	Name granitehoist.Service `toml:"name"`
	Kind Kind                 `toml:"kind"`
	// Models lists what an engine service offers.
	Models []granitehoist.Model `toml:"models"`
	// MaxOutput bounds the output tokens of one answer; DefaultOutput is taken
	// where the caller gives none. Both are for engines only.
	MaxOutput     granitehoist.Tokens `toml:"max_output"`
	DefaultOutput granitehoist.Tokens `toml:"default_output"`
	// Price is what one call of a plain service costs.
	Price granitehoist.Tokens `toml:"price"`
	// Once says that every call of a plain service but GET, HEAD and OPTIONS
	// is not to be repeated, whether the caller marks it or not.
	Once bool `toml:"once"`
}

// Upstream is one back end.
type Upstream struct {
	Name    granitehoist.Upstream         `toml:"name"`
	Service granitehoist.Service          `toml:"service"`
	Zone    granitehoist.AvailabilityZone `toml:"place"`
	Address string                        `toml:"address"`
	// Box, if set, is the upstream's name in the platform's list of boxes.
	Box granitehoist.Box `toml:"box"`
	// Concurrency bounds the requests that one router has in progress there;
	// zero stands for DefaultConcurrency.
	Concurrency int `toml:"concurrency"`
}

// DefaultConcurrency is used for an upstream that names no bound.
const DefaultConcurrency = 32

// Workspace is a customer.
type Workspace struct {
	Name granitehoist.Workspace `toml:"name"`
}

// Key lets a caller act for a workspace. Only the hash of the key is kept.
type Key struct {
	Workspace granitehoist.Workspace `toml:"workspace"`
	// Budget names the budget that pays when the caller names none.
	Budget string `toml:"budget"`
	// SHA256 is the hexadecimal SHA-256 of the key.
	SHA256 string `toml:"sha256"`
}

// Budget is prepaid tokens of a workspace.
type Budget struct {
	Workspace granitehoist.Workspace `toml:"workspace"`
	Name      string                 `toml:"name"`
	// Tokens is the total ever prepaid; a top-up raises it.
	Tokens granitehoist.Tokens `toml:"tokens"`
}

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

// Parse reads a document. file is used in faults only. Its error is of type
// tomlfile.Faults and holds all faults of the document.
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

func (p Policy) source() policy.Source {
	return policy.Source{Name: p.Name, Permit: p.Permit, Priority: p.Priority}
}
