// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package tomlfile

import (
	"fmt"
	"net/url"
	"strings"
)

// AnyTable is the Index of a Key that refers to all tables of its name.
const AnyTable = -1

// Key is the position of a value in a file.
type Key struct {
	// Table is the name of the table, empty for the keys before the first.
	Table string
	// Index is the number of the [[Table]] heading, from 0. It is AnyTable for a [Table],
	// and for a fault that concerns all tables of the name.
	Index int
	// Name is the key within the table.
	Name string
}

// String returns the key in the form used in faults: "table[index].name", "table.name"
// or "name".
func (k Key) String() string {
	switch {
	case k.Table == "":
		return k.Name
	case k.Index == AnyTable:
		return k.Table + "." + k.Name
	}
	return fmt.Sprintf("%s[%d].%s", k.Table, k.Index, k.Name)
}

// Checker collects the faults of a file that Decode has read without a fault.
type Checker struct {
	file   string
	lines  []string
	faults Faults
}

// NewChecker returns a checker without faults.
func NewChecker(file string, text []byte) *Checker {
	return &Checker{file: file, lines: strings.Split(string(text), "\n")}
}

// Faults returns the added faults, nil if there are none.
func (c *Checker) Faults() Faults { return c.faults }

// Add records that the value of a key is wrong.
func (c *Checker) Add(k Key, reason, remedy string) {
	c.faults = append(c.faults, Fault{File: c.file, Line: c.line(k), Key: k.String(), Reason: reason, Remedy: remedy})
}

// line returns the line of a key, counting from 1. It is the line of the table's heading
// if the key is missing, and zero if the heading is missing too.
func (c *Checker) line(k Key) int {
	table, index, heading := "", 0, 0
	for i, raw := range c.lines {
		text := strings.TrimSpace(raw)
		if strings.HasPrefix(text, "[") {
			table = strings.Trim(text, "[] ")
			if table == k.Table {
				index++
			}
		}
		inside := table == k.Table && (k.Table == "" || k.Index == AnyTable || index == k.Index+1)
		if !inside {
			continue
		}
		if strings.HasPrefix(text, "[") {
			heading = i + 1
			continue
		}
		name, _, ok := strings.Cut(text, "=")
		if ok && strings.TrimSpace(name) == k.Name {
			return i + 1
		}
	}
	return heading
}

// IsURL reports whether a value is the http or https URL of a host.
func IsURL(value string) bool {
	u, err := url.Parse(value)
	return err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
}
