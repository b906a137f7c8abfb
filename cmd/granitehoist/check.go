// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"granitehoist.example/granitehoist/internal/tomlfile"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/settings"
)

// newCheck returns the command that validates files without a running router.
func newCheck(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("check", "Validate settings files and partners' documents, and print all faults of each.")
	files := clause.Arg("file", "Files to validate; a file with a [listen] table is validated as a router's settings.").Required().Strings()
	return command{clause, func(context.Context) error {
		valid := true
		for _, file := range *files {
			faults, err := checkFile(file)
			if err != nil {
				return err
			}
			for _, fault := range faults {
				fmt.Fprintln(out, fault)
			}
			if len(faults) == 0 {
				fmt.Fprintf(out, "%s: sound\n", file)
			}
			valid = valid && len(faults) == 0
		}
		if !valid {
			return failed{}
		}
		return nil
	}}
}

// checkFile returns the faults of a file, or an error if it can't be read.
func checkFile(file string) (tomlfile.Faults, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if isSettings(string(text)) {
		_, faults, err := settings.Load(file)
		return faults, err
	}
	_, err = config.Parse(file, text)
	if faults, ok := err.(tomlfile.Faults); ok {
		return faults, nil
	}
	return nil, err
}

// isSettings reports whether a file is a router's settings and not a document: only
// settings have a [listen] table.
func isSettings(text string) bool {
	for line := range strings.Lines(text) {
		if strings.HasPrefix(strings.TrimSpace(line), "[listen]") {
			return true
		}
	}
	return false
}
