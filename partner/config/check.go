// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"fmt"
	"regexp"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/tomlfile"
)

// checker validates a decoded document and collects the faults that it finds.
type checker struct {
	*tomlfile.Checker
}

// add records a fault of a key in the index-th table of a name, or of a top-level key if
// table is empty.
func (c checker) add(table string, index int, key, reason, remedy string) {
	c.Add(tomlfile.Key{Table: table, Index: index, Name: key}, reason, remedy)
}

// namePattern matches valid names. It excludes slashes, which join names in store keys.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const (
	nameReason = "is not a valid name"
	nameRemedy = "use 1 to 63 characters of a-z, 0-9, dot, dash and underscore, beginning with a letter or digit"
)

// maxTokens bounds each token amount in a document, so that sums of thousands of amounts
// do not overflow 64 bits.
const maxTokens granitehoist.Tokens = 1 << 50

// name adds a fault if a value does not match namePattern.
func (c checker) name(table string, index int, key, value string) {
	if !namePattern.MatchString(value) {
		c.add(table, index, key, fmt.Sprintf("%q %s", value, nameReason), nameRemedy)
	}
}

// unique adds a fault if a value is in seen, and adds it to seen.
func (c checker) unique(seen map[string]bool, table string, index int, key, value string) {
	if seen[value] {
		c.add(table, index, key, fmt.Sprintf("%q is used twice", value), "use a unique value")
	}
	seen[value] = true
}

// tokens adds a fault if an amount is less than least or greater than maxTokens.
func (c checker) tokens(table string, index int, key string, value, least granitehoist.Tokens) {
	if value < least || value > maxTokens {
		c.add(table, index, key, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("use %d to %d", least, maxTokens))
	}
}
