// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package tomlfile

import (
	"fmt"
	"strings"
)

// Fault is one error in a file.
type Fault struct {
	// File is the path as given by the caller.
	File string
	// Line counts from 1; zero if unknown.
	Line int
	// Key is the table and key, such as "budget[2].tokens".
	Key string
	// Reason describes the error, and Remedy how to correct it.
	Reason string
	Remedy string
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	position := f.File
	if f.Line > 0 {
		position = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	return fmt.Sprintf("%s: %s: %s; %s", position, f.Key, f.Reason, f.Remedy)
}

// Faults is a list of faults. It implements error.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
