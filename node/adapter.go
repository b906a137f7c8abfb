// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"net/http"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/forward"
)

// Adapter is what a node needs of a platform: its store, the form of its
// entries, and the form of its requests. The store and the functions are safe
// for concurrent use.
type Adapter struct {
	Store granitehoist.Store
	// ConfigPrefix and InstancesPrefix are the store's prefixes of the operators'
	// and the instances' entries; ConfigKey is the key of the configuration.
	ConfigPrefix    string
	ConfigKey       string
	InstancesPrefix string
	// EvacuatedZone returns the zone that an entry under ConfigPrefix asks to evacuate
	// as long as it is there, and whether its key is such a one.
	EvacuatedZone func(key string) (granitehoist.AvailabilityZone, bool)
	// DecodeConfig and DecodeInstance decode entries that are not deleted. Their
	// errors name the field that can't be read.
	DecodeConfig   func(granitehoist.Entry) (*catalog.Document, error)
	DecodeInstance func(granitehoist.Entry) (balance.Instance, error)
	// InstanceID returns the instance whose entry has a key under
	// InstancesPrefix.
	InstanceID func(key string) granitehoist.Upstream
	Codec      forward.Codec
	// Frontend returns the handler of callers' requests. The last argument
	// reports whether an answer should ask its caller to reconnect.
	Frontend func(*forward.Forwarder, *catalog.Current, granitehoist.Clock, func() bool) http.Handler
}
