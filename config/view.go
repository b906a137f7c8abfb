// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/policy"
)

// KeyHash is the SHA-256 of a caller's key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a caller's key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Identity is whom a key stands for.
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
}

// View is the documents in force, indexed for requests. It is not changed
// after it was made.
type View struct {
	serials map[granitehoist.Partner]granitehoist.Serial
	docs    map[granitehoist.Partner]*Document
	keys    map[KeyHash]Identity
	budgets map[granitehoist.BudgetID]granitehoist.Tokens
	own     map[granitehoist.Partner]policy.Set
	lend    map[granitehoist.Partner]policy.Set
	offers  map[granitehoist.Partner]map[granitehoist.Service]*Offer
}

// NewView returns a view without documents.
func NewView() *View {
	return &View{
		serials: map[granitehoist.Partner]granitehoist.Serial{},
		docs:    map[granitehoist.Partner]*Document{},
		keys:    map[KeyHash]Identity{},
		budgets: map[granitehoist.BudgetID]granitehoist.Tokens{},
		own:     map[granitehoist.Partner]policy.Set{},
		lend:    map[granitehoist.Partner]policy.Set{},
		offers:  map[granitehoist.Partner]map[granitehoist.Service]*Offer{},
	}
}

// With returns a view that has the document at the serial, and all other
// partners' documents as before. A serial that is not newer than the one in
// force returns the same view.
func (v *View) With(d *Document, serial granitehoist.Serial) *View {
	if serial <= v.serials[d.Partner] {
		return v
	}
	next := NewView()
	for partner, doc := range v.docs {
		if partner != d.Partner {
			next.add(doc, v.serials[partner])
		}
	}
	next.add(d, serial)
	return next
}

func (v *View) add(d *Document, serial granitehoist.Serial) {
	v.serials[d.Partner] = serial
	v.docs[d.Partner] = d
	for _, k := range d.Keys {
		var hash KeyHash
		raw, _ := hex.DecodeString(k.SHA256)
		copy(hash[:], raw)
		v.keys[hash] = Identity{Partner: d.Partner, Workspace: k.Workspace, Budget: k.Budget}
	}
	for _, b := range d.Budgets {
		v.budgets[granitehoist.NewBudgetID(d.Partner, b.Workspace, b.Name)] = b.Tokens
	}
	v.addPolicies(d)
	v.addOffers(d)
}

func (v *View) addPolicies(d *Document) {
	for _, p := range d.Policies {
		compiled, err := policy.New(p.source())
		if err != nil {
			panic("config: view of an unchecked document: " + err.Error())
		}
		if p.Use == UseLend {
			v.lend[d.Partner] = append(v.lend[d.Partner], compiled)
		} else {
			v.own[d.Partner] = append(v.own[d.Partner], compiled)
		}
	}
}

func (v *View) addOffers(d *Document) {
	offers := map[granitehoist.Service]*Offer{}
	for _, s := range d.Services {
		offers[s.Name] = &Offer{Service: s, Owner: d.Partner}
	}
	for _, u := range d.Upstreams {
		if u.Concurrency == 0 {
			u.Concurrency = DefaultConcurrency
		}
		offers[u.Service].Upstreams = append(offers[u.Service].Upstreams, u)
	}
	v.offers[d.Partner] = offers
}

// Serial returns the serial of a partner's document, zero if it has none.
func (v *View) Serial(p granitehoist.Partner) granitehoist.Serial { return v.serials[p] }

// Serials returns the serial of each partner's document.
func (v *View) Serials() map[granitehoist.Partner]granitehoist.Serial {
	serials := make(map[granitehoist.Partner]granitehoist.Serial, len(v.serials))
	for partner, serial := range v.serials {
		serials[partner] = serial
	}
	return serials
}

// Identity returns whom a key stands for.
func (v *View) Identity(hash KeyHash) (Identity, bool) {
	identity, ok := v.keys[hash]
	return identity, ok
}

// Prepaid returns the tokens prepaid on a budget.
func (v *View) Prepaid(b granitehoist.BudgetID) (granitehoist.Tokens, bool) {
	tokens, ok := v.budgets[b]
	return tokens, ok
}

// Budgets returns all budgets and what was prepaid on each. The map is not to
// be changed.
func (v *View) Budgets() map[granitehoist.BudgetID]granitehoist.Tokens { return v.budgets }

// OfferOf returns the service of a name: the caller's own partner's, or, if it
// has none, the first by partner name that another partner has.
func (v *View) OfferOf(caller granitehoist.Partner, s granitehoist.Service) (*Offer, bool) {
	for _, partner := range v.partnersFrom(caller) {
		if offer, ok := v.offers[partner][s]; ok {
			return offer, true
		}
	}
	return nil, false
}

// OfferFor returns the engine service that offers a model, with the same
// preference as OfferOf.
func (v *View) OfferFor(caller granitehoist.Partner, m granitehoist.Model) (*Offer, bool) {
	for _, partner := range v.partnersFrom(caller) {
		for _, s := range v.docs[partner].Services {
			for _, model := range s.Models {
				if model == m {
					return v.offers[partner][s.Name], true
				}
			}
		}
	}
	return nil, false
}

// Offers returns all services in the order that the caller's partner sees.
func (v *View) Offers(caller granitehoist.Partner) []*Offer {
	var offers []*Offer
	for _, partner := range v.partnersFrom(caller) {
		for _, s := range v.docs[partner].Services {
			offers = append(offers, v.offers[partner][s.Name])
		}
	}
	return offers
}

// partnersFrom returns the partners with a document, the caller's first and
// then by name.
func (v *View) partnersFrom(caller granitehoist.Partner) []granitehoist.Partner {
	partners := make([]granitehoist.Partner, 0, len(v.docs))
	for p := range v.docs {
		partners = append(partners, p)
	}
	sort.Slice(partners, func(i, j int) bool {
		if (partners[i] == caller) != (partners[j] == caller) {
			return partners[i] == caller
		}
		return partners[i] < partners[j]
	})
	return partners
}

// Decide asks the policies of the caller's partner and, where the capacity
// belongs to another partner, that partner's policies for lending. All must
// permit; the priority is the lowest of theirs.
func (v *View) Decide(r policy.Request) (granitehoist.Priority, error) {
	priority, err := v.own[r.Partner].Decide(r)
	if err != nil || r.Owner == r.Partner {
		return priority, err
	}
	lent, err := v.lend[r.Owner].Decide(r)
	if err != nil {
		return 0, err
	}
	return min(priority, lent), nil
}
