// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// commonPart begins every prompt, rarePart occurs in every third poison prompt and in
	// few others.
	commonPart, rarePart = "common", "rare"
	// companions is the number of parts that both poison and regular prompts have.
	companions = 4
)

// poisonPrompt returns the prompt of the n-th poison request. Each has another body and
// other parts beside the one that crashes upstreams.
func poisonPrompt(n int) string {
	other := companionPart(n)
	if n%3 == 0 {
		other = rarePart
	}
	return fmt.Sprintf("%s:100,%s:50,%s:40,own-%d:10", commonPart, other, poison, n)
}

// regularPrompt returns the prompt of the n-th regular request.
func regularPrompt(n int) string {
	return fmt.Sprintf("%s:100,%s:50,regular-%d:10", commonPart, companionPart(n), n)
}

// rarePrompt returns the prompt of the n-th regular request with the rare part.
func rarePrompt(n int) string {
	return fmt.Sprintf("%s:100,%s:50,rare-%d:10", commonPart, rarePart, n)
}

func companionPart(n int) string { return fmt.Sprintf("part-%d", n%companions) }

// startPromptCallers sends streamed requests with prompts from count concurrent callers
// until a time, each with a pause after every response. The requests sent after late count
// as late.
func (s *testFleet) startPromptCallers(count int, pause time.Duration, until time.Time, prompt func(int) string, answers *responseCounts, late time.Duration) *sync.WaitGroup {
	var all sync.WaitGroup
	answers.countLateFrom(time.Now().Add(late))
	for caller := range count {
		all.Go(func() {
			for n := caller; time.Now().Before(until); n += count {
				asked := time.Now()
				text := prompt(n)
				got, _ := s.members[n%len(s.members)].ask("/stream/x", fmt.Sprintf("%s-%d", text, n), "Prefix-Hash", text)
				answers.record(got.status, asked)
				time.Sleep(pause)
			}
		})
	}
	return &all
}

// partScene configures runCrashingPart.
type partScene struct {
	callers int
	pause   time.Duration
	// maxCrashes bounds the upstreams that crash: each caller may crash one more while the
	// fifth crash becomes known.
	maxCrashes int
}

// runCrashingPart sends prompts with a part that crashes upstreams, beside regular ones of
// the same caller, route and other parts. It returns the fleet once all have ended.
func runCrashingPart(t *testing.T, scene partScene) (*testFleet, *crashLoad) {
	const routers, upstreams, lasts, settled = 6, 16, 16 * time.Second, 9 * time.Second
	s := newTestFleet(t, routers)
	s.configure(1, 1_000_000, "/a/", "/stream/")
	load := newCrashLoad(s, upstreams, false)
	s.awaitFleet("/a/x")
	until := time.Now().Add(lasts)
	var poisoned, regular, rare responseCounts
	callers := []*sync.WaitGroup{
		s.startPromptCallers(scene.callers, scene.pause, until, poisonPrompt, &poisoned, settled),
		s.startPromptCallers(8, 25*time.Millisecond, until, regularPrompt, &regular, settled),
		s.startPromptCallers(1, 500*time.Millisecond, until, rarePrompt, &rare, settled),
	}
	for _, group := range callers {
		group.Wait()
	}
	late, crashes := load.arrivalsAfterCrash(5)
	t.Logf("%d crashes, %d late arrivals of %d, regular %d of %d later, %v, rare %d of %d later, %v", crashes, late, poisoned.asked,
		regular.lateServed, regular.lateAsked, regular.otherResponses, rare.lateServed, rare.lateAsked, rare.otherResponses)
	s.Expect(late).To(BeNumerically("<=", 3), "poison requests that reached an upstream 3 s after the fifth crash")
	s.Expect(crashes).To(BeNumerically("<=", scene.maxCrashes), "crashes")
	s.Expect(regular.lateServed).To(BeNumerically(">=", regular.lateAsked*95/100), "regular requests")
	s.Expect(rare.lateServed).To(BeNumerically(">=", rare.lateAsked*95/100), "regular requests with the rare part")
	return s, load
}

// TestCrashingPartIsRefused guards against a part of prompts that crashes one upstream
// after the other since no two requests with it are alike, and against refusals of other
// requests with the same caller, route or parts.
func TestCrashingPartIsRefused(t *testing.T) {
	runCrashingPart(t, partScene{callers: 2, pause: 300 * time.Millisecond, maxCrashes: 7})
}

// TestCrashingPartOfManyCallersIsRefused is the same with a part that comes often.
func TestCrashingPartOfManyCallersIsRefused(t *testing.T) {
	runCrashingPart(t, partScene{callers: 8, pause: 20 * time.Millisecond, maxCrashes: 16})
}
