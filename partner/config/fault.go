// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Fault is one thing wrong with a document or a settings file.
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

// Error returns one line a fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Decode reads TOML strictly into target, and returns a fault for each key
// that target does not have, or one for text that is not TOML.
func Decode(file string, text []byte, target any) Faults {
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return nil
	}
	return decodeFaults(file, err)
}

func decodeFaults(file string, err error) Faults {
	if strict, ok := err.(*toml.StrictMissingError); ok {
		var faults Faults
		for i := range strict.Errors {
			e := &strict.Errors[i]
			line, _ := e.Position()
			faults = append(faults, Fault{File: file, Line: line, Key: strings.Join(e.Key(), "."), Reason: "no such key", Remedy: "remove it or correct its spelling"})
		}
		return faults
	}
	if e, ok := err.(*toml.DecodeError); ok {
		line, _ := e.Position()
		key := strings.Join(e.Key(), ".")
		if key == "" {
			key = "(file)"
		}
		return Faults{{File: file, Line: line, Key: key, Reason: e.Error(), Remedy: "write it as TOML of the right type"}}
	}
	return Faults{{File: file, Key: "(file)", Reason: err.Error(), Remedy: "write it as TOML"}}
}
