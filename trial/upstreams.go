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
func (s *Fleet) startStandins(engines standin.EngineSettings) error {
	var err error
	if s.storeURL, err = s.serve(s.Store.Handler()); err != nil {
		return err
	}
	for partner, document := range s.documents {
		for _, service := range document.Services {
			if err := s.startService(partner, service, engines); err != nil {
				return err
			}
		}
	}
	return nil
}

// startService starts the upstreams of a service and adds them to the partner's document.
func (s *Fleet) startService(partner granitehoist.Partner, service config.Service, engines standin.EngineSettings) error {
	count := plainPerService
	if service.Kind == config.KindEngine {
		count = enginesPerPool
	}
	serviceZones := zones[granitehoist.Region(partner)]
	d := s.documents[partner]
	for i := range count {
		address, err := s.serve(s.newUpstream(service, engines))
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
func (s *Fleet) newUpstream(service config.Service, engines standin.EngineSettings) http.Handler {
	if service.Kind == config.KindEngine {
		engine := standin.NewEngine(engines)
		s.engines = append(s.engines, engine)
		return engine.Handler()
	}
	plain := standin.NewPlain()
	s.plain = append(s.plain, plain)
	return plain.Handler()
}
