// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package settings

import (
	"fmt"
	"net"
	"strings"

	"granitehoist.example/granitehoist/internal/tomlfile"
	"granitehoist.example/granitehoist/partner/budget"
)

// checker validates decoded settings and collects the faults that it finds.
type checker struct {
	*tomlfile.Checker
}

// add records a fault of a key, given as "table.name" or, at the top level, "name".
func (c checker) add(key, reason, remedy string) {
	k := tomlfile.Key{Name: key}
	if dot := strings.LastIndex(key, "."); dot >= 0 {
		k = tomlfile.Key{Table: key[:dot], Index: tomlfile.AnyTable, Name: key[dot+1:]}
	}
	c.Add(k, reason, remedy)
}

// router checks all settings but the key files, which Load reads later.
func (c checker) router(r *Router) {
	c.validName("partner", string(r.Partner))
	c.validName("region", string(r.Region))
	c.validName("place", string(r.Zone))
	c.validName("box", string(r.Box))
	c.url("store", r.Store)
	c.address("listen.callers", r.Listen.Callers)
	c.address("listen.peers", r.Listen.Peers)
	c.address("listen.admin", r.Listen.Admin)
	c.trust(r)
	if len(r.Trust) == 0 {
		c.add("trust.keys", "no partner is trusted", "add a [[trust]] table for each partner")
	}
	for _, s := range r.Splits {
		if _, ok := budget.NewSplit(s.Weighting); !ok {
			c.add("split.weigh", fmt.Sprintf("%q is not a weighting", s.Weighting), `use "refusals" or "overspend"`)
		}
	}
	c.limits(r)
}

// trust checks that the partners' public keys decode.
func (c checker) trust(r *Router) {
	if _, err := r.TrustedKeys(); err != nil {
		c.add("trust.keys", err.Error(), `write public keys as "granitehoist keys partner" prints them`)
	}
}

// limits checks the numeric settings and the log level.
func (c checker) limits(r *Router) {
	c.positive("limits.body_bytes", r.Limits.BodyBytes)
	c.positive("limits.header_bytes", int64(r.Limits.HeaderBytes))
	c.positive("limits.read_timeout", int64(r.Limits.ReadTimeout))
	c.positive("limits.request", int64(r.Limits.RequestTimeout))
	c.positive("limits.drain", int64(r.Limits.DrainTimeout))
	c.positive("limits.unready", int64(r.Limits.ReadinessDelay))
	c.positive("budget.shards", int64(r.Budget.Shards))
	c.positive("budget.interval", int64(r.Budget.Interval))
	switch r.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.add("log.level", fmt.Sprintf("%q is not a log level", r.Log.Level), `use "debug", "info", "warn" or "error"`)
	}
}

// validName adds a fault if a name is empty or contains a character that separates
// fields in store keys or in the log.
func (c checker) validName(key, value string) {
	if value == "" || strings.ContainsAny(value, "/ \t\"") {
		c.add(key, fmt.Sprintf("%q is not a valid name", value), "write a name without spaces, slashes and quotes")
	}
}

// positive adds a fault if a value is zero or less.
func (c checker) positive(key string, value int64) {
	if value <= 0 {
		c.add(key, "is not positive", "use a value above zero, or omit the key")
	}
}

// url adds a fault if a value is not an http or https URL.
func (c checker) url(key, value string) {
	if !tomlfile.IsURL(value) {
		c.add(key, fmt.Sprintf("%q is not an http or https URL", value), `write it as "http://127.0.0.1:7000"`)
	}
}

// address adds a fault if a value is not an IP address and port.
func (c checker) address(key, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		c.add(key, fmt.Sprintf("%q is not an IP address and port", value), `write it as "127.0.0.1:8080"`)
	}
}
