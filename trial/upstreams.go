// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package trial

import (
	"fmt"
	"net/http"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/standin"
)

// startStandins starts the store and the upstreams of every service.
func (f *Fleet) startStandins(engines standin.EngineSettings) error {
	var err error
	if f.storeURL, err = f.serve(f.Store.Handler()); err != nil {
		return err
	}
	for partner, document := range f.documents {
		for _, service := range document.Services {
			if err := f.startService(partner, service, engines); err != nil {
				return err
			}
		}
	}
	return nil
}

// startService starts the upstreams of a service and adds them to the partner's document.
func (f *Fleet) startService(partner granitehoist.Partner, service config.Service, engines standin.EngineSettings) error {
	count := plainPerService
	if service.Kind == config.KindEngine {
		count = enginesPerPool
	}
	serviceZones := zones[granitehoist.Region(partner)]
	d := f.documents[partner]
	for i := range count {
		address, err := f.serve(f.newUpstream(service, engines))
		if err != nil {
			return err
		}
		d.Upstreams = append(d.Upstreams, config.Upstream{
			Name:    granitehoist.Upstream(fmt.Sprintf("%s-%d", service.Name, i+1)),
			Service: service.Name,
			Zone:    serviceZones[i%len(serviceZones)],
			Address: address,
			Box:     granitehoist.Box(fmt.Sprintf("%s-box-%d", service.Name, i+1)),
		})
	}
	return nil
}

// newUpstream returns a stand-in for a service and registers it for Fleet.executions.
func (f *Fleet) newUpstream(service config.Service, engines standin.EngineSettings) http.Handler {
	if service.Kind == config.KindEngine {
		engine := standin.NewEngine(engines)
		f.engines = append(f.engines, engine)
		return engine.Handler()
	}
	plain := standin.NewPlain()
	f.plain = append(f.plain, plain)
	return plain.Handler()
}
