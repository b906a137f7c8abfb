// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"granitehoist.example/granitehoist/standin"
)

const (
	// upgradeFromVariable names the commits from which to upgrade, separated by commas.
	upgradeFromVariable = "SOAK_UPGRADE_FROM"
	// lastLanding is the version that runs when an upgrade begins: the newest one that
	// was released before this one. Whoever releases the next moves it on.
	lastLanding = "28684e9952883a00c561d97ed38c306c41f9b277"
	// upgradeTime is how long faults are played beside an upgrade: about the time in
	// which eight processes are replaced.
	upgradeTime = 14 * time.Second
	// upgradeBlock numbers the loopback addresses of the first seed, beside those of
	// TestSoak.
	upgradeBlock = 10
	// replacePause is the time from the end of a process to the start of the next one.
	replacePause = 100 * time.Millisecond
)

// TestUpgrade replaces the program box by box while callers go on and faults are played:
// half of the boxes get the present version, go back to the earlier one, and then all are
// upgraded. All promises hold throughout, whichever versions run side by side.
func TestUpgrade(t *testing.T) {
	from, to := seeds(t, 1, 1)
	commits := []string{lastLanding}
	if value := os.Getenv(upgradeFromVariable); value != "" {
		commits = strings.Split(value, ",")
	}
	present := build(t, "..")
	for _, commit := range commits {
		earlier := buildCommit(t, commit)
		for seed := from; seed <= to; seed++ {
			t.Run(fmt.Sprintf("from %.7s, seed %d", commit, seed), func(t *testing.T) {
				t.Parallel()
				block := upgradeBlock + seed%60
				f := newFleet(t, earlier, block, plentyBudget)
				f.addWorker("i-limited", fmt.Sprintf("127.%d.%d.%d:0", ownNetwork(), block, 100+workerCount), f.limitedAnswer)
				play(t, f, seed, plan{faults: upgradeTime, work: func() { f.upgrade(earlier, present) }})
			})
		}
	}
}

// limitedAnswer is the answer of a worker that names a limit, which earlier versions do
// not read.
func (f *fleet) limitedAnswer(a standin.Arrival) standin.WorkerAnswer {
	answer := f.runCounts.answer(a)
	answer.RateLimit = []string{"10"}
	return answer
}

// buildCommit builds the program of an earlier commit. A clone without that commit can't
// play the upgrade, which the test says.
func buildCommit(t *testing.T, commit string) string {
	t.Helper()
	sources := t.TempDir()
	archive := filepath.Join(sources, "sources.tar")
	if out, err := exec.Command("git", "-C", "..", "archive", "--output", archive, commit).CombinedOutput(); err != nil {
		t.Skipf("NOT PLAYED: this clone can't give commit %s: %v\n%s", commit, err, out)
	}
	if out, err := exec.Command("tar", "-xf", archive, "-C", sources).CombinedOutput(); err != nil {
		t.Fatalf("unpack %s: %v\n%s", commit, err, out)
	}
	return build(t, sources)
}

// upgrade replaces the program: half of the boxes forth and back again, then all forth.
func (f *fleet) upgrade(earlier, present string) {
	half := f.processes[:len(f.processes)/2]
	for _, p := range half {
		f.replace(p, present, syscall.SIGTERM, replacePause)
	}
	for _, p := range half {
		f.replace(p, earlier, syscall.SIGTERM, replacePause)
	}
	for _, p := range f.processes {
		f.replace(p, present, syscall.SIGTERM, replacePause)
	}
}
