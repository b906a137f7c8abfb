// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/policy"
)

// KeyHash is the SHA-256 hash of a caller's API key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a caller's API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Identity is the workspace that a caller's key acts for.
type Identity struct {
	Partner   granitehoist.Partner
	Workspace granitehoist.Workspace
	// Budget is the name of the budget that is charged if the caller names none.
	Budget string
}

// Offer is a service with its owner and upstreams. It is immutable.
type Offer struct {
	Service
	Owner     granitehoist.Partner
	Upstreams []Upstream
	byName    map[granitehoist.Upstream]Upstream
}

// Upstream returns an upstream of the service by its name.
func (o *Offer) Upstream(name granitehoist.Upstream) (Upstream, bool) {
	u, ok := o.byName[name]
	return u, ok
}

// View is an immutable index of the documents in force. It is safe for concurrent use.
type View struct {
	partners map[granitehoist.Partner]*partnerView
}

// partnerView is the index of one partner's document. Views share the indexes of partners
// whose documents did not change.
type partnerView struct {
	serial   granitehoist.Serial
	document *Document
	keys     map[KeyHash]Identity
	budgets  map[granitehoist.BudgetID]granitehoist.Tokens
	own      policy.Set
	lend     policy.Set
	offers   map[granitehoist.Service]*Offer
	// models holds the offer of each model.
	models map[granitehoist.Model]*Offer
}

// NewView returns a view without documents.
func NewView() *View {
	return &View{partners: map[granitehoist.Partner]*partnerView{}}
}

// With returns a view in which d, with the given serial, replaces its partner's document.
// It returns v itself if the serial is not above the serial in force. It panics if the
// document has faults.
func (v *View) With(d *Document, serial granitehoist.Serial) *View {
	if serial <= v.Serial(d.Partner) {
		return v
	}
	next := NewView()
	for name, p := range v.partners {
		next.partners[name] = p
	}
	next.partners[d.Partner] = newPartnerView(d, serial)
	return next
}

// newPartnerView indexes a document. It panics if the document has faults that Parse
// reports.
func newPartnerView(d *Document, serial granitehoist.Serial) *partnerView {
	p := &partnerView{
		serial:   serial,
		document: d,
		keys:     make(map[KeyHash]Identity, len(d.Keys)),
		budgets:  make(map[granitehoist.BudgetID]granitehoist.Tokens, len(d.Budgets)),
		offers:   make(map[granitehoist.Service]*Offer, len(d.Services)),
		models:   map[granitehoist.Model]*Offer{},
	}
	for _, k := range d.Keys {
		var hash KeyHash
		raw, err := hex.DecodeString(k.SHA256)
		if err != nil {
			panic("config: document has faults: " + err.Error())
		}
		copy(hash[:], raw)
		p.keys[hash] = Identity{Partner: d.Partner, Workspace: k.Workspace, Budget: k.Budget}
	}
	for _, b := range d.Budgets {
		p.budgets[granitehoist.NewBudgetID(d.Partner, b.Workspace, b.Name)] = b.Tokens
	}
	p.addPolicies(d)
	p.addOffers(d)
	return p
}

// addPolicies compiles the policies in document order.
func (p *partnerView) addPolicies(d *Document) {
	for _, source := range d.Policies {
		compiled, err := policy.New(source.source())
		if err != nil {
			panic("config: document has faults: " + err.Error())
		}
		if source.Use == UseLend {
			p.lend = append(p.lend, compiled)
		} else {
			p.own = append(p.own, compiled)
		}
	}
}

// addOffers indexes services and models and assigns the upstreams to their services.
func (p *partnerView) addOffers(d *Document) {
	for _, s := range d.Services {
		offer := &Offer{Service: s, Owner: d.Partner, byName: map[granitehoist.Upstream]Upstream{}}
		p.offers[s.Name] = offer
		for _, m := range s.Models {
			p.models[m] = offer
		}
	}
	for _, u := range d.Upstreams {
		if u.Concurrency == 0 {
			u.Concurrency = DefaultConcurrency
		}
		offer := p.offers[u.Service]
		offer.Upstreams = append(offer.Upstreams, u)
		offer.byName[u.Name] = u
	}
}

// Serial returns the serial of a partner's document, zero if there is none.
func (v *View) Serial(p granitehoist.Partner) granitehoist.Serial {
	if partner, ok := v.partners[p]; ok {
		return partner.serial
	}
	return 0
}

// Serials returns the serial of each partner's document.
func (v *View) Serials() map[granitehoist.Partner]granitehoist.Serial {
	serials := make(map[granitehoist.Partner]granitehoist.Serial, len(v.partners))
	for name, p := range v.partners {
		serials[name] = p.serial
	}
	return serials
}

// Identity returns the workspace that a key acts for, and false for an unknown key.
func (v *View) Identity(hash KeyHash) (Identity, bool) {
	for _, p := range v.partners {
		if identity, ok := p.keys[hash]; ok {
			return identity, true
		}
	}
	return Identity{}, false
}

// Prepaid returns the tokens prepaid on a budget, and false for an unknown budget.
func (v *View) Prepaid(b granitehoist.BudgetID) (granitehoist.Tokens, bool) {
	p, ok := v.partners[b.Partner()]
	if !ok {
		return 0, false
	}
	tokens, ok := p.budgets[b]
	return tokens, ok
}

// Budgets returns the ids of all budgets in ascending order.
func (v *View) Budgets() []granitehoist.BudgetID {
	var ids []granitehoist.BudgetID
	for _, p := range v.partners {
		for id := range p.budgets {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// OfferByService returns the service with the given name, and false if there is none. The
// caller's partner takes precedence, then other partners in order of their names.
func (v *View) OfferByService(caller granitehoist.Partner, s granitehoist.Service) (*Offer, bool) {
	for _, p := range v.partnersFrom(caller) {
		if offer, ok := p.offers[s]; ok {
			return offer, true
		}
	}
	return nil, false
}

// OfferByModel returns the engine service that offers a model, with the precedence of
// OfferByService.
func (v *View) OfferByModel(caller granitehoist.Partner, m granitehoist.Model) (*Offer, bool) {
	for _, p := range v.partnersFrom(caller) {
		if offer, ok := p.models[m]; ok {
			return offer, true
		}
	}
	return nil, false
}

// Offers returns all services: first the services of the caller's partner, then those of all
// other partners by partner name.
func (v *View) Offers(caller granitehoist.Partner) []*Offer {
	var offers []*Offer
	for _, p := range v.partnersFrom(caller) {
		for _, s := range p.document.Services {
			offers = append(offers, p.offers[s.Name])
		}
	}
	return offers
}

// partnersFrom returns the partners with a document: first the caller's partner, then all
// other partners by name.
func (v *View) partnersFrom(caller granitehoist.Partner) []*partnerView {
	partners := make([]*partnerView, 0, len(v.partners))
	for _, p := range v.partners {
		partners = append(partners, p)
	}
	sort.Slice(partners, func(i, j int) bool {
		a, b := partners[i].document.Partner, partners[j].document.Partner
		if (a == caller) != (b == caller) {
			return a == caller
		}
		return a < b
	})
	return partners
}

// Decide evaluates the policies of the caller's partner and, if the capacity belongs to
// another partner, that partner's lending policies. Both must permit the request; the lower
// priority applies.
func (v *View) Decide(r policy.Request) (granitehoist.Priority, error) {
	var own, lend policy.Set
	if p, ok := v.partners[r.Partner]; ok {
		own = p.own
	}
	if p, ok := v.partners[r.Owner]; ok {
		lend = p.lend
	}
	priority, err := own.Decide(r)
	if err != nil || r.Owner == r.Partner {
		return priority, err
	}
	lendPriority, err := lend.Decide(r)
	if err != nil {
		return 0, err
	}
	return min(priority, lendPriority), nil
}
