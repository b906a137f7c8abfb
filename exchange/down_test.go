// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/exchange"
)

var _ = DescribeTable("ClosedByPeer reports whether the peer ended the connection", func(err error, ended bool) {
	Expect(exchange.ClosedByPeer(granitehoist.Wrap(granitehoist.UpstreamLost, err, ""))).To(Equal(ended))
},
	Entry("closed before the response", io.ErrUnexpectedEOF, true),
	Entry("reset", &net.OpError{Op: "read", Err: syscall.ECONNRESET}, true),
	Entry("closed by this router", &net.OpError{Op: "read", Err: net.ErrClosed}, false),
	Entry("timed out", &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}, false),
	Entry("cancelled without progress", errors.New("no progress"), false),
)

var _ = Describe("An upstream", func() {
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		return listener
	}

	It("is down if nothing listens at its address", func() {
		listener := listen()
		Expect(listener.Close()).To(Succeed())
		Expect(exchange.NewPool(exchange.Settings{}).IsDown(context.Background(), "i-1", listener.Addr().String())).To(BeTrue())
	})

	It("is not down if it accepts connections; the probe connection is closed", func() {
		listener := listen()
		Expect(exchange.NewPool(exchange.Settings{}).IsDown(context.Background(), "i-1", listener.Addr().String())).To(BeFalse())
		conn, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	It("is down if a proxy in front of it closes or resets each connection", func() {
		for _, linger := range []int{0, -1} {
			listener := listen()
			go func() {
				for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
					if tcp, is := conn.(*net.TCPConn); is {
						_ = tcp.SetLinger(linger)
					}
					_ = conn.Close()
				}
			}()
			Expect(exchange.NewPool(exchange.Settings{}).IsDown(context.Background(), "i-1", listener.Addr().String())).To(BeTrue())
		}
	})

	It("is not down if the context has ended", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(exchange.NewPool(exchange.Settings{}).IsDown(ctx, "i-1", listen().Addr().String())).To(BeFalse())
	})
})

var _ = Describe("An upstream that refuses this router", func() {
	// closedPort returns an address that refuses connections.
	closedPort := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		return listener.Addr().String()
	}
	isDown := func(d exchange.Detour) bool {
		return exchange.NewPool(exchange.Settings{Detour: d}).IsDown(context.Background(), "i-1", closedPort())
	}

	It("is not down if another router reaches it", func() {
		Expect(isDown(openDetour{})).To(BeFalse())
	})

	It("is down if it refuses the other router too, or there is no other router", func() {
		Expect(isDown(failingDetour{syscall.ECONNREFUSED})).To(BeTrue())
		Expect(isDown(failingDetour{exchange.ErrNoDetour})).To(BeTrue())
	})

	It("is not known to be down if it does not respond to the other router", func() {
		Expect(isDown(failingDetour{context.DeadlineExceeded})).To(BeFalse())
	})
})

// openDetour is a Detour whose connections stay open.
type openDetour struct{}

func (openDetour) DialUpstream(context.Context, granitehoist.Upstream) (net.Conn, error) {
	near, _ := net.Pipe()
	return near, nil
}

// failingDetour is a Detour that returns its error.
type failingDetour struct{ err error }

func (d failingDetour) DialUpstream(context.Context, granitehoist.Upstream) (net.Conn, error) {
	return nil, d.err
}
