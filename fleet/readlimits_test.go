// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet_test

import (
	"encoding/binary"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/internal/readlimit"
)

// These specs guard against routers that run out of memory, or keep connections, beside a
// router whose messages have no end.
var _ = Describe("A message without an end", func() {
	var exceeded chan *readlimit.Error
	var memory *readlimit.Memory
	var reads fleet.ReadSettings
	BeforeEach(func() {
		exceeded = make(chan *readlimit.Error, 16)
		memory = readlimit.NewMemory(1 << 20)
		reads = fleet.ReadSettings{Memory: memory, OnExceeded: func(_ string, e *readlimit.Error) { exceeded <- e }}
	})
	// connect returns a connection to a new server.
	connect := func() net.Conn {
		GinkgoHelper()
		server := fleet.NewServer(fleet.ServerSettings{Self: "me", Reads: reads})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		return conn
	}
	// expectEnded checks that a bound ends a connection and frees the memory.
	expectEnded := func(bound readlimit.Bound) {
		GinkgoHelper()
		Eventually(exceeded, 10*time.Second).Should(Receive(HaveField("Bound", bound)))
		Eventually(memory.Used).Should(BeZero())
	}

	It("is ended if its length is beyond the maximum", func() {
		_, err := connect().Write(binary.AppendUvarint(nil, 1<<40))
		Expect(err).NotTo(HaveOccurred())
		expectEnded(readlimit.Bytes)
	})
	It("is ended if it has no room beside others", func() {
		conn := connect()
		_, err := conn.Write(binary.AppendUvarint(nil, 8<<20))
		Expect(err).NotTo(HaveOccurred())
		go func() { _, _ = conn.Write([]byte(strings.Repeat(" ", 8<<20))) }()
		expectEnded(readlimit.Shared)
	})
	It("is ended if it comes a byte at a time", func() {
		conn := connect()
		_, err := conn.Write(binary.AppendUvarint(nil, 1<<20))
		Expect(err).NotTo(HaveOccurred())
		go func() {
			for {
				if _, err := conn.Write([]byte(" ")); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
		expectEnded(readlimit.Time)
	})
	It("fails the calls that wait for it", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write(binary.AppendUvarint(nil, 1<<40))
		}()
		client := fleet.NewClient(fleet.ClientSettings{Timeout: stepTimeout, Reads: reads})
		defer client.Close()
		started := time.Now()
		Expect(client.Call(ctx, granitehoist.Peer{Incarnation: "other", Address: listener.Addr().String()}, "echo", echo{"x"}, &echo{})).NotTo(Succeed())
		Expect(time.Since(started)).To(BeNumerically("<", stepTimeout/2))
		expectEnded(readlimit.Bytes)
	})
})
