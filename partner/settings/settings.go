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

// Duration is a time.Duration written as "1.5s".
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

// Router is the settings of one router.
type Router struct {
	Partner granitehoist.Partner `toml:"partner"`
	Region  granitehoist.Region  `toml:"region"`
	// Zone is called place in settings files.
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

// Listen holds the addresses that a router listens on, as IP number and port.
type Listen struct {
	// Callers is for requests, Peers for other routers and Admin for operators.
	Callers string `toml:"callers"`
	Peers   string `toml:"peers"`
	Admin   string `toml:"admin"`
}

// Trust holds the public keys with which a partner signs its documents.
type Trust struct {
	Partner granitehoist.Partner `toml:"partner"`
	// Keys are Ed25519 public keys in base64.
	Keys []string `toml:"keys"`
	// Files hold further keys, one each; Load reads them. A relative path
	// begins at the folder of the settings file.
	Files []string `toml:"files"`
}

// Split chooses how a partner's budgets are spread.
type Split struct {
	Partner granitehoist.Partner `toml:"partner"`
	// Weigh is "refusals" or "overspend".
	Weigh budget.Weighting `toml:"weigh"`
	// Wait bounds how long a request waits for tokens; unset takes the
	// weighting's.
	Wait Duration `toml:"wait"`
}

// Limits bound what one request may use. Unset values take the defaults.
type Limits struct {
	BodyBytes   int64 `toml:"body_bytes"`
	HeaderBytes int   `toml:"header_bytes"`
	// ReadTimeout bounds the reading of a request.
	ReadTimeout Duration `toml:"read_timeout"`
	// Request bounds a request whose caller names no deadline.
	Request Duration `toml:"request"`
	// Drain bounds a planned stop.
	Drain Duration `toml:"drain"`
	// Unready is how long a stopping router goes on taking requests after it
	// said that it is not ready, so that a balancer can leave it first.
	Unready Duration `toml:"unready"`
	// Bills bounds the number of unconfirmed charges; zero stands for
	// bill.DefaultMaxPending.
	Bills int `toml:"bills"`
}

// Budget tunes the messages about budgets.
type Budget struct {
	// Shards must be the same on all routers.
	Shards int `toml:"shards"`
	// Interval is the time between a box's messages about budgets.
	Interval Duration `toml:"interval"`
	// Gather is how long a report that no request waits for may wait, so that
	// one store write serves many boxes; zero does not gather. A large fleet sets
	// it to 10 s (docs/CAPACITY.md).
	Gather Duration `toml:"gather"`
}

// Log tunes the log.
type Log struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `toml:"level"`
}

// Defaults of unset values.
const (
	// DefaultBodyBytes is 4 MiB.
	DefaultBodyBytes = 4 << 20
	// DefaultHeaderBytes is 32 KiB.
	DefaultHeaderBytes = 32 << 10
	// DefaultReadTimeout is chosen, not measured.
	DefaultReadTimeout = Duration(10 * time.Second)
	// DefaultRequest is chosen, not measured.
	DefaultRequest = Duration(5 * time.Minute)
	// defaultDrain is twice DefaultRequest, so that a stop waits for every request that
	// names no deadline.
	defaultDrain = 2 * DefaultRequest
	// defaultUnready is meant to be more than a balancer takes to see that a router is not
	// ready.
	defaultUnready = Duration(3 * time.Second)
	// defaultLevel leaves out what only debugging needs.
	defaultLevel = "info"
)

// Load reads a settings file and the files of keys that it names. It returns
// all faults of the settings at once, and an error if a file can't be read.
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

// readFiles adds the keys of the files to the keys. Relative paths begin at folder.
func (t *Trust) readFiles(folder string) error {
	for _, name := range t.Files {
		if !filepath.IsAbs(name) {
			name = filepath.Join(folder, name)
		}
		key, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		t.Keys = append(t.Keys, strings.TrimSpace(string(key)))
	}
	return nil
}

// Parse reads the text of a settings file. file is used in faults only. It
// returns all faults at once.
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

// setDefaults fills in the unset values.
func (r *Router) setDefaults() {
	defaults.Set(&r.Limits.BodyBytes, DefaultBodyBytes)
	defaults.Set(&r.Limits.HeaderBytes, DefaultHeaderBytes)
	defaults.Set(&r.Limits.ReadTimeout, DefaultReadTimeout)
	defaults.Set(&r.Limits.Request, DefaultRequest)
	defaults.Set(&r.Limits.Drain, defaultDrain)
	defaults.Set(&r.Limits.Unready, defaultUnready)
	defaults.Set(&r.Budget.Shards, budget.DefaultShards)
	defaults.Set(&r.Budget.Interval, Duration(budget.DefaultInterval))
	defaults.Set(&r.Log.Level, defaultLevel)
}

// TrustedKeys returns the public keys of each partner, or an error that names
// the key that can't be read.
func (r *Router) TrustedKeys() (config.Trust, error) {
	trust := config.Trust{}
	for _, t := range r.Trust {
		for i, text := range t.Keys {
			raw, err := base64.StdEncoding.DecodeString(text)
			if err != nil || len(raw) != ed25519.PublicKeySize {
				return nil, fmt.Errorf("key %d of partner %q is no Ed25519 public key in base64", i+1, t.Partner)
			}
			trust[t.Partner] = append(trust[t.Partner], ed25519.PublicKey(raw))
		}
	}
	return trust, nil
}

// SplitOf returns the split of a budget, by its partner's weighting. A partner
// without a [[split]] table has the zero Split.
func (r *Router) SplitOf(k granitehoist.BudgetID) budget.Split {
	for _, s := range r.Splits {
		if s.Partner != k.Partner() {
			continue
		}
		// Parse has refused unknown weightings.
		split, _ := budget.NewSplit(s.Weigh)
		if s.Wait > 0 {
			split.Wait = time.Duration(s.Wait)
		}
		return split
	}
	return budget.Split{}
}
