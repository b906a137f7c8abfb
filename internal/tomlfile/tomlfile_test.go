// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package tomlfile_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/internal/tomlfile"
)

const text = `name = "a"
[listen]
port = 1
[[budget]]
name = "b"
[[budget]]
tokens = 5
name = "c"
`

func TestFaults(t *testing.T) {
	for _, test := range []struct {
		name string
		key  tomlfile.Key
		want string
	}{
		{"a key before the first table", tomlfile.Key{Name: "name"}, "f:1: name: wrong; mend it"},
		{"a missing key before the first table", tomlfile.Key{Name: "port"}, "f: port: wrong; mend it"},
		{"a key of a table that stands once", tomlfile.Key{Table: "listen", Index: tomlfile.AnyTable, Name: "port"}, "f:3: listen.port: wrong; mend it"},
		{"a missing key of a table that stands once", tomlfile.Key{Table: "listen", Index: tomlfile.AnyTable, Name: "name"}, "f:2: listen.name: wrong; mend it"},
		{"a key of the second of two tables", tomlfile.Key{Table: "budget", Index: 1, Name: "name"}, "f:8: budget[1].name: wrong; mend it"},
		{"a key that only the other of two tables has", tomlfile.Key{Table: "budget", Index: 0, Name: "tokens"}, "f:4: budget[0].tokens: wrong; mend it"},
		{"a key of any of two tables", tomlfile.Key{Table: "budget", Index: tomlfile.AnyTable, Name: "tokens"}, "f:7: budget.tokens: wrong; mend it"},
		{"a table that the file lacks", tomlfile.Key{Table: "key", Index: 0, Name: "sha256"}, "f: key[0].sha256: wrong; mend it"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := tomlfile.NewChecker("f", []byte(text))
			c.Add(test.key, "wrong", "mend it")
			NewWithT(t).Expect(c.Faults().Error()).To(Equal(test.want))
		})
	}
}
