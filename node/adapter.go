// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"net/http"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/internal/readlimit"
	"granitehoist.example/granitehoist/rollout"
)

// Adapter holds what a node needs from a platform: its store, the format of its entries
// and the format of its requests. The store and the functions must be safe for concurrent
// use.
type Adapter struct {
	Store granitehoist.Store
	// ConfigPrefix is the store prefix of the entries that operators write. ConfigKey is
	// the key of the configuration under it. InstancesPrefix is the store prefix of the
	// instances' announcements.
	ConfigPrefix    string
	ConfigKey       string
	InstancesPrefix string
	// EvacuatedZone returns the availability zone that is evacuated while an entry with
	// the given key exists. It returns false for keys that evacuate no zone.
	EvacuatedZone func(key string) (granitehoist.AvailabilityZone, bool)
	// OrderedService returns the service that the roll-out order under a key concerns. It
	// returns false for keys that hold no order.
	OrderedService func(key string) (granitehoist.Service, bool)
	// DecodeOrder decodes an order that is not deleted. Its error names the invalid field.
	DecodeOrder func(granitehoist.Entry) (rollout.Order, error)
	// StatusKey returns the store key of the answer to a service's order, and EncodeStatus
	// the answer.
	StatusKey    func(granitehoist.Service) string
	EncodeStatus func(rollout.Status) []byte
	// DecodeConfig and DecodeInstance decode entries that are not deleted. Their errors
	// name the invalid field.
	DecodeConfig   func(granitehoist.Entry) (*catalog.Document, error)
	DecodeInstance func(granitehoist.Entry) (balance.Instance, error)
	// CompareConfigs and CompareInstances order two entries of a key under ConfigPrefix and
	// InstancesPrefix by their content: negative if the first is older, zero if the
	// contents don't tell.
	CompareConfigs   func(a, b granitehoist.Entry) int
	CompareInstances func(a, b granitehoist.Entry) int
	// InstanceID returns the instance that a key under InstancesPrefix belongs to.
	InstanceID func(key string) granitehoist.Upstream
	Codec      forward.Codec
	// NewFrontend returns the handler of callers' requests.
	NewFrontend func(FrontendSettings) http.Handler
}

// FrontendSettings is what the handler of callers' requests uses of a node.
type FrontendSettings struct {
	// Forwarder sends the requests to upstreams.
	Forwarder *forward.Forwarder
	// Catalog provides the limits of the configuration in force.
	Catalog *catalog.Current
	Clock   granitehoist.Clock
	// Draining reports whether a response should ask the caller to reconnect.
	Draining func() bool
	// ReadMemory is the memory that the bodies of requests share.
	ReadMemory *readlimit.Memory
	// OnExceeded is called with each caller's address whose request exceeded a bound.
	OnExceeded func(caller string, e *readlimit.Error)
}
