// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package tomlfile

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// noKey is the Key of a fault of the whole file.
const noKey = "(file)"

// Decode strictly decodes TOML into target, a pointer. It returns a fault for each key
// that target does not have, or one fault for invalid TOML or a value of the wrong type.
// file is used only in faults.
func Decode(file string, text []byte, target any) Faults {
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := decoder.Decode(target)
	switch e := err.(type) {
	case nil:
		return nil
	case *toml.StrictMissingError:
		return unknownKeys(file, e)
	case *toml.DecodeError:
		return Faults{wrongValue(file, e)}
	}
	return Faults{{File: file, Key: noKey, Reason: err.Error(), Remedy: "write it as TOML"}}
}

// unknownKeys returns a fault for each key that the target lacks.
func unknownKeys(file string, e *toml.StrictMissingError) Faults {
	var faults Faults
	for i := range e.Errors {
		line, _ := e.Errors[i].Position()
		faults = append(faults, Fault{
			File:   file,
			Line:   line,
			Key:    strings.Join(e.Errors[i].Key(), "."),
			Reason: "no such key",
			Remedy: "remove it or correct its spelling",
		})
	}
	return faults
}

// wrongValue returns the fault of invalid TOML or a value of the wrong type.
func wrongValue(file string, e *toml.DecodeError) Fault {
	line, _ := e.Position()
	key := strings.Join(e.Key(), ".")
	if key == "" {
		key = noKey
	}
	return Fault{File: file, Line: line, Key: key, Reason: e.Error(), Remedy: "write it as TOML of the right type"}
}
