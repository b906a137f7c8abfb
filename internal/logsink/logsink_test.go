// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package logsink_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"granitehoist.example/granitehoist/internal/logsink"
)

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	text    strings.Builder
	release chan struct{}
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// TestStoppedReader checks that Write does not block while the reader is stopped, and
// that dropped lines are reported when it reads again.
func TestStoppedReader(t *testing.T) {
	writer := &blockedWriter{release: make(chan struct{})}
	sink := logsink.New(writer, 4)
	began := time.Now()
	for range 1000 {
		if _, err := sink.Write([]byte("event=x\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Fatalf("writing took %v", took)
	}
	if sink.Dropped() < 990 {
		t.Fatalf("%d lines dropped", sink.Dropped())
	}
	close(writer.release)
	sink.Close(20 * time.Second)
	reported := int64(0)
	for line := range strings.Lines(writer.text.String()) {
		var lines int64
		if n, _ := fmt.Sscanf(line, "event=log_dropped lines=%d", &lines); n == 1 {
			reported += lines
		}
	}
	if reported != sink.Dropped() {
		t.Fatalf("%d lines were dropped and %d reported: %q", sink.Dropped(), reported, writer.text.String())
	}
}
