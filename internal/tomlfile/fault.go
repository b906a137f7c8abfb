// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package tomlfile

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a file.
type Fault struct {
	// File is the path as it was given.
	File string
	// Line counts from 1; zero where it is not known.
	Line int
	// Key is the table and key, such as "budget[2].tokens".
	Key string
	// Reason says what is wrong and Remedy what to write instead.
	Reason string
	Remedy string
}

// String returns one line with all parts.
func (f Fault) String() string {
	where := f.File
	if f.Line > 0 {
		where = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	return fmt.Sprintf("%s: %s: %s; %s", where, f.Key, f.Reason, f.Remedy)
}

// Faults is all that is wrong with a file.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
