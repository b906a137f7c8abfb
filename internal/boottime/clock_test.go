// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package boottime

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fakeMachine is a machine with clocks that a test controls.
type fakeMachine struct {
	wall            time.Time
	monotonic, boot time.Duration
	// reads counts the readings of CLOCK_BOOTTIME.
	reads int
	err   error
	// afterBootRead, if set, is called after each reading of CLOCK_BOOTTIME.
	afterBootRead func()
}

func newMachine() *fakeMachine {
	return &fakeMachine{wall: time.Unix(1_000_000, 0), boot: time.Hour}
}

func (m *fakeMachine) clock() *Clock {
	GinkgoHelper()
	c, err := newClock(system{
		now: func() (time.Time, time.Duration) { return m.wall, m.monotonic },
		boot: func() (time.Duration, error) {
			m.reads++
			boot := m.boot
			if m.afterBootRead != nil {
				m.afterBootRead()
			}
			return boot, m.err
		},
	})
	Expect(err).NotTo(HaveOccurred())
	return c
}

// run advances all clocks.
func (m *fakeMachine) run(d time.Duration) {
	m.suspend(d)
	m.monotonic += d
}

// suspend advances the clocks that count suspensions.
func (m *fakeMachine) suspend(d time.Duration) {
	m.wall = m.wall.Add(d)
	m.boot += d
}

// setWall moves the wall clock.
func (m *fakeMachine) setWall(by time.Duration) { m.wall = m.wall.Add(by) }

var _ = Describe("Clock", func() {
	It("counts a suspension at the first reading after it", func() {
		m := newMachine()
		c := m.clock()
		begin := c.Now()
		m.run(10 * time.Millisecond)
		Expect(c.Now().Sub(begin)).To(Equal(10 * time.Millisecond))
		m.suspend(3 * time.Second)
		Expect(c.Now().Sub(begin)).To(Equal(3010 * time.Millisecond))
		m.run(time.Millisecond)
		m.suspend(2 * time.Second)
		Expect(c.Now().Sub(begin)).To(Equal(5011 * time.Millisecond))
	})

	It("does not jump when the wall clock is set", func() {
		m := newMachine()
		c := m.clock()
		begin := c.Now()
		m.setWall(2 * time.Second)
		Expect(c.Now()).To(Equal(begin))
		m.setWall(-5 * time.Second)
		m.run(time.Second)
		Expect(c.Now().Sub(begin)).To(Equal(time.Second))
	})

	It("counts a suspension while the wall clock is set", func() {
		m := newMachine()
		c := m.clock()
		begin := c.Now()
		m.suspend(4 * time.Second)
		m.setWall(-2 * time.Second)
		Expect(c.Now().Sub(begin)).To(Equal(4 * time.Second))
	})

	It("detects within a second a suspension that the wall clock does not show", func() {
		m := newMachine()
		c := m.clock()
		begin := c.Now()
		m.suspend(4 * time.Second)
		m.setWall(-4 * time.Second)
		m.run(checkInterval)
		Expect(c.Now().Sub(begin)).To(Equal(4*time.Second + checkInterval))
	})

	It("does not mistake a delay between two readings for a suspension", func() {
		m := newMachine()
		c := m.clock()
		begin := c.Now()
		m.afterBootRead = func() { m.run(time.Second) }
		m.setWall(time.Second)
		c.Now()
		m.afterBootRead = nil
		m.run(2 * time.Second)
		Expect(c.Now().Sub(begin)).To(Equal(3 * time.Second))
	})

	It("reads CLOCK_BOOTTIME rarely while nothing happens", func() {
		m := newMachine()
		c := m.clock()
		for range 1000 {
			m.run(time.Millisecond)
			c.Now()
		}
		Expect(m.reads).To(Equal(2))
	})

	It("keeps the known suspension time if CLOCK_BOOTTIME can't be read any more", func() {
		m := newMachine()
		c := m.clock()
		begin := c.Now()
		m.suspend(time.Second)
		c.Now()
		m.err = errors.New("gone")
		m.run(2 * checkInterval)
		Expect(c.Now().Sub(begin)).To(Equal(time.Second + 2*checkInterval))
	})

	It("fails at creation if the system has no CLOCK_BOOTTIME", func() {
		_, err := newClock(system{boot: func() (time.Duration, error) { return 0, errors.New("no such clock") }})
		Expect(err).To(MatchError(ContainSubstring("no such clock")))
	})

	It("agrees with the monotonic clock of this machine", func() {
		c, err := New()
		Expect(err).NotTo(HaveOccurred())
		begin, started := c.Now(), time.Now()
		time.Sleep(30 * time.Millisecond)
		Expect(c.Now().Sub(begin)).To(BeNumerically("~", time.Since(started), 10*time.Millisecond))
	})
})

func BenchmarkClock(b *testing.B) {
	c, err := New()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Now()
	}
}

func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}
