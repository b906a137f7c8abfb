// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
	"granitehoist.example/granitehoist/internal/tomlfile"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/partner/config"
)

// Duration is a time.Duration that is encoded as text such as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	*d = Duration(value)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Router holds the settings of one router.
type Router struct {
	Partner granitehoist.Partner `toml:"partner"`
	Region  granitehoist.Region  `toml:"region"`
	// Zone is the availability zone of the box.
	Zone granitehoist.AvailabilityZone `toml:"place"`
	Box  granitehoist.Box              `toml:"box"`
	// Store is the base URL of the platform's store.
	Store  string  `toml:"store"`
	Listen Listen  `toml:"listen"`
	Trust  []Trust `toml:"trust"`
	Splits []Split `toml:"split"`
	Limits Limits  `toml:"limits"`
	Budget Budget  `toml:"budget"`
	Log    Log     `toml:"log"`
}

// Listen holds the addresses that a router listens on, each an IP address and port.
type Listen struct {
	// Callers serves API requests, Peers other routers and Admin operators.
	Callers string `toml:"callers"`
	Peers   string `toml:"peers"`
	Admin   string `toml:"admin"`
}

// Trust holds the public keys that verify a partner's signed documents.
type Trust struct {
	Partner granitehoist.Partner `toml:"partner"`
	// Keys are Ed25519 public keys in base64.
	Keys []string `toml:"keys"`
	// Files names files with one further key each, which Load reads. Relative paths
	// are resolved against the directory of the settings file.
	Files []string `toml:"files"`
}

// Split configures how a partner's budgets are divided among boxes.
type Split struct {
	Partner granitehoist.Partner `toml:"partner"`
	// Weighting is "refusals" or "overspend".
	Weighting budget.Weighting `toml:"weigh"`
	// MaxWait bounds how long a request waits for tokens; zero means the default of
	// the weighting.
	MaxWait Duration `toml:"wait"`
}

// Limits bounds sizes and durations of requests and of a planned stop. Zero values
// are replaced by the defaults.
type Limits struct {
	BodyBytes   int64 `toml:"body_bytes"`
	HeaderBytes int   `toml:"header_bytes"`
	// ReadTimeout bounds the time to read a request.
	ReadTimeout Duration `toml:"read_timeout"`
	// RequestTimeout is the timeout of a request whose caller sets no deadline.
	RequestTimeout Duration `toml:"request"`
	// DrainTimeout is the timeout of a planned stop.
	DrainTimeout Duration `toml:"drain"`
	// ReadinessDelay is the delay between reporting not ready and refusing requests in a
	// planned stop, in which load balancers stop sending requests.
	ReadinessDelay Duration `toml:"unready"`
	// MaxPendingCharges bounds the number of unconfirmed charges; zero means
	// bill.DefaultMaxPending.
	MaxPendingCharges int `toml:"bills"`
}

// Budget configures the exchange of budget reports and grants between routers.
type Budget struct {
	// Shards is the number of budget shards. It must be the same on all routers.
	Shards int `toml:"shards"`
	// Interval is the time between two budget reports of a box.
	Interval Duration `toml:"interval"`
	// MaxBatchDelay bounds how long a report that no request waits for may be delayed, so
	// that one store write covers the reports of many boxes; zero disables the delay.
	// 10 s suits a large fleet (docs/CAPACITY.md).
	MaxBatchDelay Duration `toml:"gather"`
}

// Log configures logging.
type Log struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `toml:"level"`
}

// Defaults that replace zero values.
const (
	// DefaultBodyBytes bounds a request's body, in bytes.
	DefaultBodyBytes = 4 << 20
	// DefaultHeaderBytes bounds a request's headers, in bytes.
	DefaultHeaderBytes = 32 << 10
	// DefaultReadTimeout bounds the time to read a request.
	DefaultReadTimeout = Duration(10 * time.Second)
	// DefaultRequestTimeout is the timeout of a request whose caller sets no deadline.
	DefaultRequestTimeout = Duration(5 * time.Minute)
	// defaultDrain exceeds DefaultRequestTimeout, so that a stop waits for every request
	// without a deadline of its own.
	defaultDrain = 2 * DefaultRequestTimeout
	// defaultUnready exceeds the usual health check interval of a load balancer.
	defaultUnready = Duration(3 * time.Second)
	// defaultLevel omits debug messages.
	defaultLevel = "info"
)

// Load reads a settings file and the key files that it names. It returns all faults
// of the settings at once, and an error if a file can't be read.
func Load(file string) (*Router, tomlfile.Faults, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	r, faults := Parse(file, text)
	if len(faults) > 0 {
		return r, faults, nil
	}
	for i := range r.Trust {
		if err := r.Trust[i].readFiles(filepath.Dir(file)); err != nil {
			return nil, nil, err
		}
	}
	c := checker{tomlfile.NewChecker(file, text)}
	c.trust(r)
	return r, c.Faults(), nil
}

// readFiles appends the keys in Files to Keys. Relative paths are resolved against dir.
func (t *Trust) readFiles(dir string) error {
	for _, name := range t.Files {
		if !filepath.IsAbs(name) {
			name = filepath.Join(dir, name)
		}
		key, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		t.Keys = append(t.Keys, strings.TrimSpace(string(key)))
	}
	return nil
}

// Parse decodes and validates the text of a settings file and fills in the defaults.
// It returns all faults at once; file is the name that they report. Key files are not
// read.
func Parse(file string, text []byte) (*Router, tomlfile.Faults) {
	var r Router
	if faults := tomlfile.Decode(file, text, &r); len(faults) > 0 {
		return nil, faults
	}
	r.setDefaults()
	c := checker{tomlfile.NewChecker(file, text)}
	c.router(&r)
	return &r, c.Faults()
}

// setDefaults replaces zero values by the defaults.
func (r *Router) setDefaults() {
	defaults.Set(&r.Limits.BodyBytes, DefaultBodyBytes)
	defaults.Set(&r.Limits.HeaderBytes, DefaultHeaderBytes)
	defaults.Set(&r.Limits.ReadTimeout, DefaultReadTimeout)
	defaults.Set(&r.Limits.RequestTimeout, DefaultRequestTimeout)
	defaults.Set(&r.Limits.DrainTimeout, defaultDrain)
	defaults.Set(&r.Limits.ReadinessDelay, defaultUnready)
	defaults.Set(&r.Budget.Shards, budget.DefaultShards)
	defaults.Set(&r.Budget.Interval, Duration(budget.DefaultInterval))
	defaults.Set(&r.Log.Level, defaultLevel)
}

// TrustedKeys returns the decoded public keys of each partner. The error names the
// first key that is invalid.
func (r *Router) TrustedKeys() (config.Trust, error) {
	trust := config.Trust{}
	for _, t := range r.Trust {
		for i, text := range t.Keys {
			raw, err := base64.StdEncoding.DecodeString(text)
			if err != nil || len(raw) != ed25519.PublicKeySize {
				return nil, fmt.Errorf("key %d of partner %q is not a base64 Ed25519 public key", i+1, t.Partner)
			}
			trust[t.Partner] = append(trust[t.Partner], ed25519.PublicKey(raw))
		}
	}
	return trust, nil
}

// SplitOf returns the split that the budget's partner has configured, or the zero
// Split if the partner has no [[split]] table.
func (r *Router) SplitOf(k granitehoist.BudgetID) budget.Split {
	for _, s := range r.Splits {
		if s.Partner != k.Partner() {
			continue
		}
		// Parse rejects unknown weightings.
		split, _ := budget.NewSplit(s.Weighting)
		if s.MaxWait > 0 {
			split.MaxWait = time.Duration(s.MaxWait)
		}
		return split
	}
	return budget.Split{}
}
