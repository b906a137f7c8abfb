// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/linkmeter"
)

// TestDirectPath guards against a path that is taken for lost because of one upstream, or
// for open although no upstream is reached.
func TestDirectPath(t *testing.T) {
	type dial struct {
		upstream granitehoist.Upstream
		result   DialResult
	}
	for _, test := range []struct {
		name  string
		dials []dial
		want  PathState
	}{
		{"no dial", nil, PathOpen},
		{"one upstream fails again and again", []dial{{"a", DialRefused}, {"a", DialTimedOut}, {"a", DialRefused}}, PathOpen},
		{"two upstreams fail", []dial{{"a", DialRefused}, {"b", DialTimedOut}}, PathSuspect},
		{"two of three upstreams fail", []dial{{"a", DialRefused}, {"c", DialSucceeded}, {"b", DialTimedOut}}, PathOpen},
		{"four upstreams fail", []dial{{"a", DialRefused}, {"b", DialTimedOut}, {"c", DialTimedOut}, {"d", DialRefused}}, PathIsolated},
		{"one upstream responds again", []dial{{"a", DialRefused}, {"b", DialTimedOut}, {"c", DialRefused}, {"d", DialRefused}, {"a", DialSucceeded}}, PathOpen},
		{"cancelled and local failures", []dial{{"a", DialCancelled}, {"b", DialFailed}, {"c", DialCancelled}}, PathOpen},
	} {
		t.Run(test.name, func(t *testing.T) {
			var p directPath
			changes := 0
			for _, d := range test.dials {
				if p.record(d.upstream, d.result) {
					changes++
				}
			}
			if got := p.current(); got != test.want {
				t.Errorf("state %d, want %d", got, test.want)
			}
			if changes == 0 && test.want != PathOpen {
				t.Error("no change was reported")
			}
		})
	}
}

// TestPathConfirmed guards against a path that counts as lost because upstreams crashed at
// the same time, or a lost one that is used again without a successful dial.
func TestPathConfirmed(t *testing.T) {
	var p directPath
	p.record("a", DialRefused)
	p.record("b", DialRefused)
	if p.confirm("c") || p.current() != PathSuspect {
		t.Error("lost because another router reaches an upstream that was not dialed")
	}
	if !p.confirm("a") || p.current() != PathLost {
		t.Error("not lost although another router reaches an upstream that refused")
	}
	p.record("c", DialRefused)
	p.record("d", DialRefused)
	if p.current() != PathLost {
		t.Errorf("state %d after further failures", p.current())
	}
	if !p.record("a", DialSucceeded) || p.current() != PathOpen {
		t.Error("not open after a successful dial")
	}
	p.record("a", DialRefused)
	p.record("b", DialRefused)
	if p.current() != PathSuspect {
		t.Errorf("state %d, the confirmation of an earlier partition counts", p.current())
	}
}

// failingDialer fails each dial with err and counts the dials.
type failingDialer struct {
	err   error
	dials int
}

func (d *failingDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	d.dials++
	return nil, &net.OpError{Op: "dial", Err: d.err}
}

// fakeDetour returns connections, or err if it is set, and counts the dials.
type fakeDetour struct {
	err   error
	dials int
}

func (d *fakeDetour) DialUpstream(context.Context, granitehoist.Upstream) (net.Conn, error) {
	d.dials++
	if d.err != nil {
		return nil, d.err
	}
	near, _ := net.Pipe()
	return near, nil
}

// dialUpstreams dials different upstreams in turn and returns the last error.
func dialUpstreams(p *Pool, upstreams ...granitehoist.Upstream) error {
	var last error
	for _, u := range upstreams {
		c, err := p.dial(context.Background(), u, "127.0.0.1:1")
		if err == nil {
			_ = c.Close()
		}
		last = err
	}
	return last
}

// TestDetour guards against requests that fail at a router without a path although there
// is a detour, and against detours or refusals for which there is no reason.
func TestDetour(t *testing.T) {
	t.Run("is not taken for a single upstream", func(t *testing.T) {
		detour := &fakeDetour{}
		p := NewPool(Settings{Dialer: &failingDialer{err: syscall.ECONNREFUSED}, Detour: detour})
		if err := dialUpstreams(p, "a", "a"); granitehoist.CodeOf(err) != granitehoist.UpstreamRefused || detour.dials > 0 {
			t.Errorf("error %v, %d dials through the detour", err, detour.dials)
		}
	})
	t.Run("is taken by the dial that shows that the path is lost", func(t *testing.T) {
		detour, meter := &fakeDetour{}, &linkmeter.Meter{}
		var p *Pool
		var states []PathState
		p = NewPool(Settings{Dialer: &failingDialer{err: syscall.ECONNREFUSED}, Detour: detour, Meter: meter, OnPathChange: func() { states = append(states, p.Path()) }})
		if err := dialUpstreams(p, "a", "b"); err != nil || detour.dials != 1 {
			t.Errorf("error %v, %d dials through the detour", err, detour.dials)
		}
		if len(states) != 2 || states[0] != PathSuspect || states[1] != PathLost {
			t.Errorf("changes %v", states)
		}
	})
	t.Run("reports an upstream that refuses there too", func(t *testing.T) {
		p := NewPool(Settings{Dialer: &failingDialer{err: syscall.ECONNREFUSED}, Detour: &fakeDetour{err: syscall.ECONNREFUSED}})
		if err := dialUpstreams(p, "a", "b", "c", "d", "e"); granitehoist.CodeOf(err) != granitehoist.UpstreamRefused {
			t.Errorf("error %v", err)
		}
	})
	t.Run("is missing: dials directly until the node is isolated", func(t *testing.T) {
		dialer := &failingDialer{err: syscall.ECONNREFUSED}
		p := NewPool(Settings{Dialer: dialer})
		if err := dialUpstreams(p, "a", "b", "c"); granitehoist.CodeOf(err) != granitehoist.UpstreamRefused || dialer.dials != 3 {
			t.Errorf("error %v after %d dials", err, dialer.dials)
		}
		if err := dialUpstreams(p, "d", "a", "b"); granitehoist.CodeOf(err) != granitehoist.UpstreamsUnreachable || dialer.dials != 4 {
			t.Errorf("error %v after %d dials", err, dialer.dials)
		}
		if granitehoist.UpstreamsUnreachable.Info().Execution != granitehoist.NotRun {
			t.Error("a request that was not sent may have run")
		}
	})
	t.Run("is missing: dials an upstream that has not failed", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		p := NewPool(Settings{})
		if err := dialUpstreams(p, "a", "b", "c", "d"); granitehoist.CodeOf(err) != granitehoist.UpstreamRefused || p.Path() != PathIsolated {
			t.Fatalf("error %v, state %d", err, p.Path())
		}
		c, err := p.dial(context.Background(), "e", listener.Addr().String())
		if err != nil || p.Path() != PathOpen {
			t.Fatalf("error %v, state %d", err, p.Path())
		}
		discard(c)
	})
	t.Run("ends when a probe succeeds", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		detour := &fakeDetour{}
		p := NewPool(Settings{Detour: detour})
		for _, u := range []granitehoist.Upstream{"a", "b"} {
			if err := p.Probe(context.Background(), u, "127.0.0.1:1"); err == nil {
				t.Fatal("a probe of a closed port succeeded")
			}
		}
		if p.Path() != PathSuspect {
			t.Fatal("the path is not suspected")
		}
		if err := p.Probe(context.Background(), "c", listener.Addr().String()); err != nil {
			t.Fatal(err)
		}
		c, err := p.dial(context.Background(), "c", listener.Addr().String())
		if err != nil || detour.dials > 0 {
			t.Errorf("error %v, %d dials through the detour", err, detour.dials)
		}
		discard(c)
	})
	t.Run("gives up at the end of the context", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		detour := detourFunc(func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
		p := NewPool(Settings{Dialer: &failingDialer{err: syscall.ECONNREFUSED}, Detour: detour})
		_ = dialUpstreams(p, "a")
		if _, err := p.dial(ctx, "b", "127.0.0.1:1"); !errors.Is(err, context.DeadlineExceeded) || granitehoist.CodeOf(err) != granitehoist.UpstreamRefused {
			t.Errorf("error %v", err)
		}
	})
}

// detourFunc is a Detour that always fails.
type detourFunc func(context.Context) error

func (f detourFunc) DialUpstream(ctx context.Context, _ granitehoist.Upstream) (net.Conn, error) {
	return nil, f(ctx)
}
