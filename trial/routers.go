// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package trial

import (
	"context"
	"fmt"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pause"
	"granitehoist.example/granitehoist/partner/boxlist"
	"granitehoist.example/granitehoist/partner/router"
	"granitehoist.example/granitehoist/partner/settings"
	"granitehoist.example/granitehoist/platform"
)

// startRouters starts all routers. The first router listens for callers on listen, each other
// router on any free port.
func (f *Fleet) startRouters(listen string) error {
	for _, partner := range partners {
		for _, zone := range zones[granitehoist.Region(partner)] {
			for i := range routersPerZone {
				r, err := f.startRouter(partner, zone, i, listen)
				if err != nil {
					return err
				}
				f.Routers = append(f.Routers, r)
				listen = anyPort
			}
		}
	}
	return nil
}

// anyPort is the listen address for a free loopback port.
const anyPort = "127.0.0.1:0"

// startRouter starts the i-th router of an availability zone. Its settings are marshalled
// and parsed, so that the defaults and checks of a settings file apply.
func (f *Fleet) startRouter(partner granitehoist.Partner, zone granitehoist.AvailabilityZone, i int, listen string) (*router.Router, error) {
	file := f.routerSettings(partner, zone, i, listen)
	text, err := toml.Marshal(file)
	if err != nil {
		return nil, eris.Wrap(err, "trial: settings")
	}
	parsed, faults := settings.Parse(string(file.Box), text)
	if len(faults) > 0 {
		return nil, faults
	}
	r, err := router.New(router.Settings{
		Router:   parsed,
		Store:    platform.NewStore(platform.StoreSettings{Address: f.storeURL}),
		Platform: boxlist.New(boxlist.Settings{Address: f.storeURL}),
		Log:      f.log.Named(string(file.Box)),
	})
	if err != nil {
		return nil, err
	}
	r.Start()
	return r, nil
}

// routerSettings returns the settings of the i-th router of an availability zone.
func (f *Fleet) routerSettings(partner granitehoist.Partner, zone granitehoist.AvailabilityZone, i int, listen string) settings.Router {
	return settings.Router{
		Partner: partner,
		Region:  granitehoist.Region(partner),
		Zone:    zone,
		Box:     granitehoist.Box(fmt.Sprintf("%s-%d", zone, i+1)),
		Store:   f.storeURL,
		Listen:  settings.Listen{Callers: listen, Peers: anyPort, Admin: anyPort},
		Trust:   f.trust,
		Limits:  settings.Limits{ReadinessDelay: settings.Duration(readinessDelay)},
		Splits:  []settings.Split{{Partner: Tuul, Weighting: "refusals"}, {Partner: Lima, Weighting: "overspend"}},
	}
}

// waitInForce waits until the routers have applied the documents of both partners.
func (f *Fleet) waitInForce(ctx context.Context, routers ...*router.Router) error {
	for _, r := range routers {
		for len(r.View().Serials()) < len(f.documents) {
			pause.For(ctx, inForcePollInterval)
			if ctx.Err() != nil {
				return eris.New("trial: the routers have not applied all documents")
			}
		}
	}
	return nil
}

// stopRouters stops all routers gracefully.
func (f *Fleet) stopRouters(ctx context.Context) error {
	for _, r := range f.Routers {
		if err := r.Stop(ctx); err != nil {
			return err
		}
	}
	f.Routers = nil
	return nil
}
