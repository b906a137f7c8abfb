// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// frozenBlock is the lowest third octet of the loopback addresses of TestFrozen.
	frozenBlock = 90
	// freezes is the number of times that a process is frozen, frozenCallers that of the
	// callers whose requests it then has not read.
	freezes, frozenCallers = 6, 12
	// frozenTime is how long a process is frozen, frozenTimeout the deadline of the requests
	// that callers send meanwhile.
	frozenTime, frozenTimeout = 600 * time.Millisecond, 300 * time.Millisecond
	// thawTime is the time after which a process has handled what it had not read.
	thawTime = 400 * time.Millisecond
)

// unreadRequest is a request in the socket of a frozen process.
type unreadRequest struct {
	id      string
	conn    net.Conn
	timeout time.Duration
	// leaves says that the caller closes its connection before the process goes on.
	leaves bool
}

// sendUnread sends a request to a frozen process over a connection of its own.
func (f *fleet) sendUnread(p *process, id string, timeout time.Duration, leaves bool) *unreadRequest {
	c, err := net.DialTimeout("tcp", p.ip+":8227", time.Second)
	f.must(err)
	request, err := newRequest(p, "once", id, "question")
	f.must(err)
	request.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	f.must(request.Write(c))
	return &unreadRequest{id: id, conn: c, timeout: timeout, leaves: leaves}
}

// status returns the status of the response, zero without one.
func (u *unreadRequest) status() int {
	if err := u.conn.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(u.conn), nil)
	if err != nil {
		return 0
	}
	// The body doesn't matter.
	_ = response.Body.Close()
	return response.StatusCode
}

// TestFrozen guards against requests that run after their callers have left or after their
// deadline, because the process was frozen before it had read them.
func TestFrozen(t *testing.T) {
	from, to := seedRange(t, 1, 1)
	binary := buildProgram(t, "..")
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			block := frozenBlock + seed%40
			f := newStore(t, binary, largeBudget)
			f.addWorker("i-0", workerAddress(block, 0), f.runCounts.respond)
			f.addProcesses(2, block)
			f.awaitReady(recoveryTimeout)
			time.Sleep(listTime)
			random := rand.New(rand.NewPCG(uint64(seed), 1))
			for n := range freezes {
				f.freezeOnce(f.processes[n%2], fmt.Sprint(n), random)
			}
			f.logOnFailure()
		})
	}
}

// freeze stops a process and waits until each of its threads has stopped. Until then it may
// read and send requests.
func (f *fleet) freeze(p *process) {
	p.signal(syscall.SIGSTOP)
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	for end := time.Now().Add(recoveryTimeout); !isStopped(pid); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("process %d does not stop", pid)
		}
	}
}

// isStopped reports whether all threads of a process are stopped.
func isStopped(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil {
			return false
		}
		// The state follows the name of the command, which is in parentheses.
		_, state, found := strings.Cut(string(stat), ") ")
		if !found || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// freezeOnce freezes a process, sends it requests and checks what became of them.
func (f *fleet) freezeOnce(p *process, name string, random *rand.Rand) {
	f.freeze(p)
	frozen := time.Now()
	var all []*unreadRequest
	for i := range frozenCallers {
		timeout := frozenTimeout
		if i%3 == 0 {
			timeout = requestTimeout
		}
		all = append(all, f.sendUnread(p, fmt.Sprintf("once-%s-%d", name, i), timeout, i%2 == 0))
	}
	time.Sleep(frozenTime/2 - time.Since(frozen))
	for _, u := range all {
		if u.leaves {
			// The caller has given up. An error of Close can't change that.
			_ = u.conn.Close()
			time.Sleep(time.Duration(random.IntN(5)) * time.Millisecond)
		}
	}
	time.Sleep(frozenTime - time.Since(frozen))
	p.signal(syscall.SIGCONT)
	time.Sleep(thawTime)
	for _, u := range all {
		f.checkUnread(u)
	}
}

// checkUnread checks a request that a process had not read when it was frozen.
func (f *fleet) checkUnread(u *unreadRequest) {
	f.runCounts.mu.Lock()
	runs := f.runCounts.runs[u.id]
	f.runCounts.mu.Unlock()
	if u.leaves {
		if runs > 0 {
			f.t.Errorf("%s ran after its caller had left", u.id)
		}
		return
	}
	status := u.status()
	// The caller may have closed the connection already.
	_ = u.conn.Close()
	switch late := u.timeout < frozenTime; {
	case late && (runs > 0 || !promisesNotRun(status)):
		f.t.Errorf("%s ran %d times after its deadline and got status %d", u.id, runs, status)
	case !late && (runs != 1 || status != http.StatusOK):
		f.t.Errorf("%s with time left ran %d times and got status %d", u.id, runs, status)
	}
}
