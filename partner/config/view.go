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

// KeyHash is the SHA-256 of a caller's key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a caller's key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Identity is the workspace that a caller's key acts for.
type Identity struct {
	Partner   granitehoist.Partner
	Workspace granitehoist.Workspace
	// Budget is the name of the budget that pays when the caller names none.
	Budget string
}

// Offer is a service with its owner and upstreams.
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

// View is the documents in force, indexed for requests. It never changes and is
// safe for concurrent use.
type View struct {
	partners map[granitehoist.Partner]*partnerView
}

// partnerView is one partner's document, indexed. Views share those of the
// partners whose documents did not change.
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

// With returns a view that has the document at the serial, and all other
// partners' documents as before. A serial that is not newer than the one in
// force returns the same view. It panics if the document has faults.
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

// newPartnerView indexes a document. It panics if the document has faults, which
// Parse would have found.
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
			panic("config: view of a document with faults: " + err.Error())
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

// addPolicies compiles the policies, in the order of the document.
func (p *partnerView) addPolicies(d *Document) {
	for _, source := range d.Policies {
		compiled, err := policy.New(source.source())
		if err != nil {
			panic("config: view of a document with faults: " + err.Error())
		}
		if source.Use == UseLend {
			p.lend = append(p.lend, compiled)
		} else {
			p.own = append(p.own, compiled)
		}
	}
}

// addOffers gives each service its upstreams and indexes the models.
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

// Serial returns the serial of a partner's document, zero if it has none.
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

// Budgets returns the names of all budgets, in order.
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

// OfferOfService returns the service of a name: the caller's own partner's, or, if it
// has none, the first by partner name that another partner has.
func (v *View) OfferOfService(caller granitehoist.Partner, s granitehoist.Service) (*Offer, bool) {
	for _, p := range v.partnersFrom(caller) {
		if offer, ok := p.offers[s]; ok {
			return offer, true
		}
	}
	return nil, false
}

// OfferOfModel returns the engine service that offers a model, with the same
// preference as OfferOfService.
func (v *View) OfferOfModel(caller granitehoist.Partner, m granitehoist.Model) (*Offer, bool) {
	for _, p := range v.partnersFrom(caller) {
		if offer, ok := p.models[m]; ok {
			return offer, true
		}
	}
	return nil, false
}

// Offers returns all services in the order that the caller's partner sees.
func (v *View) Offers(caller granitehoist.Partner) []*Offer {
	var offers []*Offer
	for _, p := range v.partnersFrom(caller) {
		for _, s := range p.document.Services {
			offers = append(offers, p.offers[s.Name])
		}
	}
	return offers
}

// partnersFrom returns the partners with a document, the caller's first and
// then by name.
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

// Decide asks the policies of the caller's partner and, where the capacity
// belongs to another partner, that partner's policies for lending. All must
// permit; the priority is the lowest of theirs.
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
	lent, err := lend.Decide(r)
	if err != nil {
		return 0, err
	}
	return min(priority, lent), nil
}
