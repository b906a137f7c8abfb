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
	"granitehoist.example/granitehoist/origin"
	"granitehoist.example/granitehoist/rollout"
	"granitehoist.example/granitehoist/suspect"
)

// goldenMessage is a message between routers or a record in the store, with a file of it
// as an earlier version wrote it. Files must not be changed; a changed message needs an
// additional file.
type goldenMessage struct {
	file string
	// decode decodes a message into its current type.
	decode func(raw []byte) (any, error)
}

// decodeAs decodes a message into a type.
func decodeAs[T any](raw []byte) (any, error) {
	var message T
	err := json.Unmarshal(raw, &message)
	return message, err
}

var goldenMessages = []goldenMessage{
	{"peer", decodeAs[peerEntry]},
	{"greeting", decodeAs[greeting]},
	{"greeting-limits", decodeAs[greeting]},
	{"updates-question", decodeAs[updatesParams]},
	{"updates", decodeAs[follow.PackedUpdate]},
	{"updates-question-era", decodeAs[updatesParams]},
	{"updates-era", decodeAs[follow.PackedUpdate]},
	{"updates-compressed", decodeAs[follow.PackedUpdate]},
	{"lend-question", decodeAs[escrow.LendParams]},
	{"lend", decodeAs[escrow.LendResult]},
	{"lend-age", decodeAs[escrow.LendResult]},
	{"repay-question", decodeAs[escrow.RepayParams]},
	{"suspects", decodeAs[suspectUpdate]},
	{"suspects-scope", decodeAs[suspectUpdate]},
	{"suspects-part", decodeAs[suspectUpdate]},
	{"suspects-starting", decodeAs[suspectUpdate]},
	{"suspects-crashed", decodeAs[suspectUpdate]},
	{"suspect-refused", decodeAs[suspect.Record]},
	{"suspect-secret", decodeAs[suspect.Secret]},
	{"escrow", decodeAs[escrow.Record]},
	{"escrow-era", decodeAs[escrow.Record]},
	{"escrow-confirmed", decodeAs[escrow.Record]},
	{"escrow-held", decodeAs[escrow.Record]},
	{"escrow-bound", decodeAs[escrow.Record]},
	{"escrow-divided", decodeAs[escrow.Record]},
	{"limits", decodeAs[balance.Updates]},
	{"limits-leaving", decodeAs[balance.Updates]},
	{"limits-rejections", decodeAs[balance.Updates]},
	{"greeting-leaving", decodeAs[greeting]},
	{"permits-question", decodeAs[permitsParams]},
	{"permits", decodeAs[permitsResult]},
	{"reach", decodeAs[reachResult]},
	{"rollout-report", decodeAs[rollout.ReportParams]},
	{"rollout-reply", decodeAs[rollout.ReportResult]},
	{"origins-hold", decodeAs[holdParams]},
	{"origins-find-question", decodeAs[findParams]},
	{"origins-find", decodeAs[findResult]},
	{"origins-archive", decodeAs[archiveParams]},
	{"origins-segment", decodeAs[origin.Segment]},
	{"releases", decodeAs[releasesResult]},
	{"rollout-record", decodeAs[rollout.Record]},
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

// decodeUntyped decodes JSON into maps, slices and basic values.
func decodeUntyped(t *testing.T, raw []byte) any {
	t.Helper()
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		t.Fatal(err)
	}
	return value
}

// withUnknownFields returns a value with an additional field in each of its objects,
// except in those whose field names are data: names with a digit or a hyphen, or of a
// workspace.
func withUnknownFields(value any) any {
	switch v := value.(type) {
	case map[string]any:
		changed := map[string]any{}
		isData := false
		for name, inside := range v {
			changed[name] = withUnknownFields(inside)
			isData = isData || strings.ContainsAny(name, "-0123456789") || name == "kiosk"
		}
		if !isData && len(v) > 0 {
			changed["later_field"] = map[string]any{"of": "another version"}
		}
		return changed
	case []any:
		var changed []any
		for _, inside := range v {
			changed = append(changed, withUnknownFields(inside))
		}
		return changed
	}
	return value
}

// TestMessageCompatibility guards against messages and records that other versions cannot
// exchange: lost or renamed fields, and errors on unknown or missing ones.
func TestMessageCompatibility(t *testing.T) {
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
			if !reflect.DeepEqual(decodeUntyped(t, again), decodeUntyped(t, raw)) {
				t.Errorf("encoded again as %s", again)
			}
			later, err := json.Marshal(withUnknownFields(decodeUntyped(t, raw)))
			if err != nil {
				t.Fatal(err)
			}
			if got, err := m.decode(later); err != nil || !reflect.DeepEqual(got, message) {
				t.Errorf("with unknown fields: %+v, %v", got, err)
			}
			fields, _ := decodeUntyped(t, raw).(map[string]any)
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
