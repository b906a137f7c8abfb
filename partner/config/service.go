// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"fmt"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/tomlfile"
)

// Kind is the protocol that a service speaks.
type Kind string

// The kinds of services.
const (
	// KindEngine is a model engine that speaks the OpenAI-compatible protocol.
	KindEngine Kind = "engine"
	// KindPlain is any other HTTP service.
	KindPlain Kind = "plain"
)

// Service is a named group of interchangeable upstreams of one kind.
type Service struct {
	Name granitehoist.Service `toml:"name"`
	Kind Kind                 `toml:"kind"`
	// Models lists the models that an engine service offers.
	Models []granitehoist.Model `toml:"models"`
	// MaxOutput is the most output tokens of one choice of a response. DefaultOutput applies
	// instead to a request that sets no maximum. Both apply to engines only.
	MaxOutput     granitehoist.Tokens `toml:"max_output"`
	DefaultOutput granitehoist.Tokens `toml:"default_output"`
	// Price is the cost of one call of a plain service, in tokens.
	Price granitehoist.Tokens `toml:"price"`
	// Once forbids repeating calls of a plain service other than GET, HEAD and
	// OPTIONS, even if the caller did not mark them as not repeatable.
	Once bool `toml:"once"`
}

// Upstream is one server of a service.
type Upstream struct {
	Name    granitehoist.Upstream `toml:"name"`
	Service granitehoist.Service  `toml:"service"`
	// Zone is the availability zone of the upstream.
	Zone granitehoist.AvailabilityZone `toml:"place"`
	// Address is an http or https URL.
	Address string `toml:"address"`
	// Box, if set, is the upstream's name in the platform's list of boxes.
	Box granitehoist.Box `toml:"box"`
	// Concurrency bounds the concurrent requests of one router to the upstream; zero
	// means DefaultConcurrency.
	Concurrency int `toml:"concurrency"`
}

// DefaultConcurrency replaces a zero Upstream.Concurrency.
const DefaultConcurrency = 32

// services checks the services and returns their names. No two services may offer the
// same model.
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
			c.add("service", i, "kind", fmt.Sprintf("%q is not a kind of service", s.Kind), `use "engine" or "plain"`)
		}
	}
	return services
}

// engine checks the fields that only engine services use.
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

// upstreams checks the upstreams, given the names of the services.
func (c checker) upstreams(d *Document, services map[string]bool) {
	seen := map[string]bool{}
	for i, u := range d.Upstreams {
		c.name("upstream", i, "name", string(u.Name))
		c.unique(seen, "upstream", i, "name", string(u.Name))
		if !services[string(u.Service)] {
			c.add("upstream", i, "service", fmt.Sprintf("no service %q in this document", u.Service), "name one of its services")
		}
		if !tomlfile.IsURL(u.Address) {
			c.add("upstream", i, "address", fmt.Sprintf("%q is not an http or https URL", u.Address), `write it as "http://127.0.0.1:9001"`)
		}
		if u.Concurrency < 0 {
			c.add("upstream", i, "concurrency", "is negative", "use 1 or more, or omit the key")
		}
	}
}
