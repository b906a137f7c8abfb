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

// machine is a machine whose clocks a test moves.
type machine struct {
	day          time.Time
	steady, boot time.Duration
	// reads counts the readings of CLOCK_BOOTTIME.
	reads int
	err   error
	// between, if set, is called between a reading of CLOCK_BOOTTIME and what follows.
	between func()
}

func newMachine() *machine {
	return &machine{day: time.Unix(1_000_000, 0), boot: time.Hour}
}

func (m *machine) clock() *Clock {
	GinkgoHelper()
	c, err := newClock(system{
		now: func() (time.Time, time.Duration) { return m.day, m.steady },
		boot: func() (time.Duration, error) {
			m.reads++
			boot := m.boot
			if m.between != nil {
				m.between()
			}
			return boot, m.err
		},
	})
	Expect(err).NotTo(HaveOccurred())
	return c
}

// run lets the machine run.
func (m *machine) run(d time.Duration) {
	m.suspend(d)
	m.steady += d
}

// suspend suspends the machine.
func (m *machine) suspend(d time.Duration) {
	m.day = m.day.Add(d)
	m.boot += d
}

// set sets the time of day.
func (m *machine) set(by time.Duration) { m.day = m.day.Add(by) }

var _ = Describe("The clock", func() {
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

	It("does not follow the time of day when that is set", func() {
		m := newMachine()
		c := m.clock()
		begin := c.Now()
		m.set(2 * time.Second)
		Expect(c.Now()).To(Equal(begin))
		m.set(-5 * time.Second)
		m.run(time.Second)
		Expect(c.Now().Sub(begin)).To(Equal(time.Second))
	})

	It("counts a suspension beside a setting of the time of day", func() {
		m := newMachine()
		c := m.clock()
		begin := c.Now()
		m.suspend(4 * time.Second)
		m.set(-2 * time.Second)
		Expect(c.Now().Sub(begin)).To(Equal(4 * time.Second))
	})

	It("counts a suspension that the time of day hides, within a second", func() {
		m := newMachine()
		c := m.clock()
		begin := c.Now()
		m.suspend(4 * time.Second)
		m.set(-4 * time.Second)
		m.run(lookAgain)
		Expect(c.Now().Sub(begin)).To(Equal(4*time.Second + lookAgain))
	})

	It("takes a wait between two readings for no suspension", func() {
		m := newMachine()
		c := m.clock()
		begin := c.Now()
		m.between = func() { m.run(time.Second) }
		m.set(time.Second)
		c.Now()
		m.between = nil
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

	It("keeps what it knows if CLOCK_BOOTTIME can't be read any more", func() {
		m := newMachine()
		c := m.clock()
		begin := c.Now()
		m.suspend(time.Second)
		c.Now()
		m.err = errors.New("gone")
		m.run(2 * lookAgain)
		Expect(c.Now().Sub(begin)).To(Equal(time.Second + 2*lookAgain))
	})

	It("says at its making that the system has no CLOCK_BOOTTIME", func() {
		_, err := newClock(system{boot: func() (time.Duration, error) { return 0, errors.New("no such clock") }})
		Expect(err).To(MatchError(ContainSubstring("no such clock")))
	})

	It("of this machine agrees with its steady clock", func() {
		c, err := New()
		Expect(err).NotTo(HaveOccurred())
		begin, steady := c.Now(), time.Now()
		time.Sleep(30 * time.Millisecond)
		Expect(c.Now().Sub(begin)).To(BeNumerically("~", time.Since(steady), 10*time.Millisecond))
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
