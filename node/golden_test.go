// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/follow"
	"granitehoist.example/granitehoist/suspect"
)

// goldenMessage is a message between routers or a record in the store, with a file of it as
// an earlier version wrote it. The files are never changed: a message that changes gets
// one more.
type goldenMessage struct {
	file string
	// decode decodes a message into its type of this version.
	decode func(raw []byte) (any, error)
}

// as returns the decoding into a type.
func as[T any](raw []byte) (any, error) {
	var message T
	err := json.Unmarshal(raw, &message)
	return message, err
}

var goldenMessages = []goldenMessage{
	{"peer", as[peerEntry]},
	{"greeting", as[greeting]},
	{"greeting-limits", as[greeting]},
	{"updates-question", as[updatesParams]},
	{"updates", as[follow.PackedUpdate]},
	{"updates-compressed", as[follow.PackedUpdate]},
	{"lend-question", as[escrow.LendParams]},
	{"lend", as[escrow.LendResult]},
	{"repay-question", as[escrow.RepayParams]},
	{"suspects", as[suspectNews]},
	{"suspects-scope", as[suspectNews]},
	{"suspect-refused", as[suspect.Record]},
	{"suspect-secret", as[suspect.Secret]},
	{"escrow", as[escrow.Record]},
	{"escrow-divided", as[escrow.Record]},
	{"limits", as[balance.News]},
	{"limits-leaving", as[balance.News]},
	{"greeting-leaving", as[greeting]},
	{"permits-question", as[permitQuestion]},
	{"permits", as[permitReply]},
}

// goldenFile returns the content of a message's file.
func goldenFile(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "golden", name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// generic decodes JSON without a type.
func generic(t *testing.T, raw []byte) any {
	t.Helper()
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		t.Fatal(err)
	}
	return value
}

// withLaterFields returns a value with one more field in each of its objects, but for those
// whose names are data: an object whose key has capital letters, digits or a hyphen.
func withLaterFields(value any) any {
	switch v := value.(type) {
	case map[string]any:
		changed := map[string]any{}
		isData := false
		for name, inside := range v {
			changed[name] = withLaterFields(inside)
			isData = isData || strings.ContainsAny(name, "-0123456789") || name == "kiosk"
		}
		if !isData && len(v) > 0 {
			changed["later_field"] = map[string]any{"of": "another version"}
		}
		return changed
	case []any:
		var changed []any
		for _, inside := range v {
			changed = append(changed, withLaterFields(inside))
		}
		return changed
	}
	return value
}

// TestMessagesOfOtherVersions checks that the messages and records of an earlier version
// are read with all that they say and written in the same form, that fields of a later one
// change nothing, and that a missing field is no error.
func TestMessagesOfOtherVersions(t *testing.T) {
	for _, m := range goldenMessages {
		t.Run(m.file, func(t *testing.T) {
			raw := goldenFile(t, m.file)
			message, err := m.decode(raw)
			if err != nil {
				t.Fatal(err)
			}
			again, err := json.Marshal(message)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(generic(t, again), generic(t, raw)) {
				t.Errorf("it is written as %s", again)
			}
			later, err := json.Marshal(withLaterFields(generic(t, raw)))
			if err != nil {
				t.Fatal(err)
			}
			if got, err := m.decode(later); err != nil || !reflect.DeepEqual(got, message) {
				t.Errorf("with later fields: %+v, %v", got, err)
			}
			fields, _ := generic(t, raw).(map[string]any)
			for name, value := range fields {
				delete(fields, name)
				lacking, err := json.Marshal(fields)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := m.decode(lacking); err != nil {
					t.Errorf("without %s: %v", name, err)
				}
				fields[name] = value
			}
		})
	}
	t.Run("each file has a message", func(t *testing.T) {
		files, err := filepath.Glob("testdata/golden/*.json")
		if err != nil || len(files) != len(goldenMessages) {
			t.Errorf("%d files, %d messages, %v", len(files), len(goldenMessages), err)
		}
	})
}
