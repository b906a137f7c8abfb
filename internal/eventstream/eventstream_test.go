// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package eventstream_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"granitehoist.example/granitehoist/internal/eventstream"
)

// TestPieces checks that the result does not depend on the chunks of a stream.
func TestPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.SampledFrom([]byte("id: 1\n\r\nx:"))).Draw(t, "text")
		var splitter eventstream.Splitter
		var joined bytes.Buffer
		for remaining := text; len(remaining) > 0; {
			n := rapid.IntRange(1, len(remaining)).Draw(t, "piece")
			events, err := splitter.Add(remaining[:n])
			if err != nil {
				t.Fatal(err)
			}
			for _, event := range events {
				joined.Write(event.Raw)
			}
			remaining = remaining[n:]
		}
		joined.Write(splitter.Incomplete())
		if !bytes.Equal(joined.Bytes(), text) {
			t.Fatalf("%q became %q", text, joined.Bytes())
		}
	})
}

// TestPiecesGiveTheSameEvents guards against ends of events that are missed if they arrive in
// several chunks.
func TestPiecesGiveTheSameEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.SampledFrom([]byte("\n\r\n\nx"))).Draw(t, "text")
		var whole, pieces eventstream.Splitter
		want, err := whole.Add(text)
		if err != nil {
			t.Fatal(err)
		}
		count := 0
		for remaining := text; len(remaining) > 0; {
			n := rapid.IntRange(1, min(3, len(remaining))).Draw(t, "piece")
			events, err := pieces.Add(remaining[:n])
			if err != nil {
				t.Fatal(err)
			}
			for _, event := range events {
				if count >= len(want) || !bytes.Equal(event.Raw, want[count].Raw) {
					t.Fatalf("event %d of %q is %q", count, text, event.Raw)
				}
				count++
			}
			remaining = remaining[n:]
		}
		if count != len(want) {
			t.Fatalf("%d events of %q, want %d", count, text, len(want))
		}
	})
}

// TestIDs checks that only the id field sets the id of an event.
func TestIDs(t *testing.T) {
	var splitter eventstream.Splitter
	events, err := splitter.Add([]byte("weight-versions: 3\nid: 12\ndata: x\n\ndata: no id\n\nid: 13"))
	if err != nil || len(events) != 2 {
		t.Fatalf("%d events, %v", len(events), err)
	}
	if !events[0].HasID || events[0].ID != 12 || events[1].HasID {
		t.Fatalf("%+v", events)
	}
	if string(splitter.Incomplete()) != "id: 13" {
		t.Fatalf("rest %q", splitter.Incomplete())
	}
}
