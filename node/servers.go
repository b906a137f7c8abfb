// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/internal/httpserver"
	"granitehoist.example/granitehoist/internal/readlimit"
)

const (
	// headerTimeout bounds the time for reading a request's header. The configuration's
	// headerTimeoutMs is not used, since the configuration is not known yet when the
	// server starts.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection may be idle. It is longer than the
	// configuration's idle limit, so that the router never closes a connection that a
	// caller may still use.
	idleTimeout = 90 * time.Second
	// headerBytes bounds the size of a request's header.
	headerBytes = 16 << 10
)

// listeners holds the open listeners of a node.
type listeners struct {
	callers net.Listener
	ready   net.Listener
	peers   net.Listener
	// tunnels is nil if the node opens no tunnels for neighbours, metrics if no metrics are
	// served.
	tunnels net.Listener
	metrics net.Listener
}

// tunnelAddress returns the address of the listener for tunnels, empty if there is none.
func (l *listeners) tunnelAddress() string {
	if l.tunnels == nil {
		return ""
	}
	return l.tunnels.Addr().String()
}

// boundedListen opens an address whose connections hold few bytes that were not read.
func boundedListen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return readlimit.LimitSocket(raw) }}
	return config.Listen(context.Background(), "tcp", address)
}

// listen opens the configured addresses. If one cannot be opened, it closes those opened
// before and returns the error.
func listen(c *Config) (listeners, error) {
	var l listeners
	if err := l.open(c); err != nil {
		l.close()
		return listeners{}, err
	}
	return l, nil
}

// open opens the addresses in turn. After a failure those opened before stay open.
func (l *listeners) open(c *Config) error {
	var err error
	if l.callers, err = boundedListen(c.CallerAddress); err != nil {
		return eris.Wrap(err, "node: cannot listen for callers")
	}
	if l.ready, err = net.Listen("tcp", c.ReadinessAddress); err != nil {
		return eris.Wrap(err, "node: cannot listen for health checks")
	}
	if l.peers, err = net.Listen("tcp", net.JoinHostPort(c.PeerIP, strconv.Itoa(c.PeerPort))); err != nil {
		return eris.Wrap(err, "node: cannot listen for neighbours")
	}
	if c.TunnelPort > 0 {
		if l.tunnels, err = boundedListen(net.JoinHostPort(c.PeerIP, strconv.Itoa(c.TunnelPort))); err != nil {
			return eris.Wrap(err, "node: cannot listen for tunnels")
		}
	}
	if c.MetricsAddress == "" {
		return nil
	}
	if l.metrics, err = net.Listen("tcp", c.MetricsAddress); err != nil {
		return eris.Wrap(err, "node: cannot listen for metrics")
	}
	return nil
}

// close closes the listeners that are open.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.ready, l.peers, l.tunnels, l.metrics} {
		if listener != nil {
			// No connection was accepted yet, so a failure to close loses nothing.
			_ = listener.Close()
		}
	}
}

// serverName names a server in the log.
type serverName string

// The servers of a node.
const (
	callersServer    serverName = "callers"
	readyServer      serverName = "ready"
	metricsServer    serverName = "metrics"
	neighboursServer serverName = "neighbours"
	tunnelServer     serverName = "tunnels"
)

// servers holds the servers for callers, health checks, neighbours, tunnels and metrics.
type servers struct {
	callers *httpserver.Server
	ready   *httpserver.Server
	// tunnels is nil if the node opens no tunnels.
	tunnels *httpserver.Server
	// metrics is nil if no metrics are served.
	metrics *httpserver.Server
	// calls serves the calls of neighbours on the listener peers.
	calls *fleet.Server
	peers net.Listener
}

// newServers returns the servers of a node on its open listeners.
func newServers(n *Node, l listeners) *servers {
	s := &servers{peers: l.peers, calls: newCallServer(n)}
	s.callers = httpserver.New(httpserver.Settings{
		Handler:       n.adapter.NewFrontend(n.frontendSettings()),
		HeaderTimeout: headerTimeout,
		IdleTimeout:   idleTimeout,
		HeaderBytes:   headerBytes,
		OnError:       n.serveErrorLogger(callersServer),
	}, n.components.linkMeter.Listener(l.callers))
	s.ready = httpserver.New(httpserver.Settings{
		Handler:        http.HandlerFunc(n.serveReady),
		RequestTimeout: headerTimeout,
		IdleTimeout:    idleTimeout,
		HeaderBytes:    headerBytes,
		OnError:        n.serveErrorLogger(readyServer),
	}, l.ready)
	if l.tunnels != nil {
		s.tunnels = httpserver.New(httpserver.Settings{
			Handler:       n.components.tunnels,
			HeaderTimeout: headerTimeout,
			IdleTimeout:   idleTimeout,
			HeaderBytes:   headerBytes,
			OnError:       n.serveErrorLogger(tunnelServer),
		}, n.components.linkMeter.Listener(l.tunnels))
	}
	if l.metrics != nil {
		s.metrics = httpserver.New(httpserver.Settings{
			Handler:        http.HandlerFunc(n.serveMetrics),
			RequestTimeout: headerTimeout,
			IdleTimeout:    idleTimeout,
			HeaderBytes:    headerBytes,
			OnError:        n.serveErrorLogger(metricsServer),
		}, l.metrics)
	}
	return s
}

// frontendSettings returns what the handler of callers' requests uses of the node.
func (n *Node) frontendSettings() FrontendSettings {
	return FrontendSettings{
		Forwarder:  n.components.forwarder,
		Catalog:    n.configs.catalog,
		Clock:      n.clock,
		Draining:   n.asksCallersToReconnect,
		ReadMemory: &n.readMemory.callers,
		OnExceeded: n.exceededBy(callerPeer),
	}
}

// closeHTTP closes the HTTP servers, and with them the connections of callers whose
// requests are still in progress.
func (s *servers) closeHTTP() {
	s.callers.Close()
	s.ready.Close()
	if s.tunnels != nil {
		s.tunnels.Close()
	}
	if s.metrics != nil {
		s.metrics.Close()
	}
}

// newCallServer returns the server for calls between nodes.
func newCallServer(n *Node) *fleet.Server {
	methods := map[string]fleet.HandlerFunc{
		methodUpdates:        fleet.Handle(n.serveUpdates),
		escrow.MethodLend:    fleet.Handle(n.components.syncer.ServeLend),
		escrow.MethodRepay:   fleet.Handle(n.components.syncer.ServeRepay),
		methodPushSuspects:   fleet.Handle(n.components.suspects.servePush),
		methodPullSuspects:   fleet.Handle(n.components.suspects.servePull),
		methodHoldOrigins:    fleet.Handle(n.components.origins.serveHold),
		methodFindOrigin:     fleet.Handle(n.components.origins.serveFind),
		methodArchiveOrigins: fleet.Handle(n.components.origins.writer.serveArchive),
		methodFindArchived:   fleet.Handle(n.components.origins.archive.serveFind),
		methodReleases:       fleet.Handle(n.components.origins.registry.serveReleases),
		methodPushSignals:    fleet.Handle(n.components.signals.servePush),
		methodPermits:        fleet.Handle(n.components.limits.servePermits),
		methodReach:          fleet.Handle(n.components.tunnels.serveReach),
	}
	n.components.rollouts.addMethods(methods)
	return fleet.NewServer(fleet.ServerSettings{
		Self:    n.incarnation,
		Methods: methods,
		Reads:   n.neighbourReads(),
		Greetings: map[string]fleet.HandlerFunc{
			methodGreet: fleet.Handle(n.components.peers.serveGreet),
		},
	})
}
