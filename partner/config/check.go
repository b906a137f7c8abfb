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

// namePattern is what a name may be. No slash may occur, since names are joined by
// slashes in the store's keys. The length of 63 is chosen, not measured.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const (
	nameReason = "is not a name"
	nameRemedy = "use 1 to 63 of a-z, 0-9, dot, dash and underscore, a letter or digit first"
)

// maxTokens bounds the amounts that a document may name, so that the sum of thousands of
// them fits into 64 bits.
const maxTokens granitehoist.Tokens = 1 << 50

// name adds a fault if a value is no name.
func (c checker) name(table string, index int, key, value string) {
	if !namePattern.MatchString(value) {
		c.add(table, index, key, fmt.Sprintf("%q %s", value, nameReason), nameRemedy)
	}
}

// unique adds a fault if a value was seen before, and marks it as seen.
func (c checker) unique(seen map[string]bool, table string, index int, key, value string) {
	if seen[value] {
		c.add(table, index, key, fmt.Sprintf("%q stands twice", value), "give each its own name")
	}
	seen[value] = true
}

// tokens adds a fault if an amount is below least or above maxTokens.
func (c checker) tokens(table string, index int, key string, value, least granitehoist.Tokens) {
	if value < least || value > maxTokens {
		c.add(table, index, key, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("use %d to %d", least, maxTokens))
	}
}
