// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"fmt"
	"regexp"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/tomlfile"
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
