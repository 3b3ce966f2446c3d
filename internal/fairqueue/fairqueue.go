// Package fairqueue implements bounded, hierarchical, weighted fair queues.
//
// The algorithm is start-time fair queueing (Goyal, Vin and Cheng, "Start-time
// fair queueing: a scheduling algorithm for integrated services packet switching
// networks", IEEE/ACM Transactions on Networking, 1997) on two levels: first
// between partners, then between the organisations of a partner. The cost of an
// item is in tokens. Items of an organisation are dequeued by rank, lowest first.
package fairqueue

import (
	"slices"
	"sort"
	"time"
)

// Limits sets the maximum queue lengths. Values that are not positive select the
// defaults.
type Limits struct {
	PerOrganisation int // items
	PerPartner      int // items
}

// Default queue length limits, in items.
const (
	DefaultPerOrganisation = 256
	DefaultPerPartner      = 1024
)

// Item is a queue entry.
type Item[T any] struct {
	Partner      string
	Organisation string
	Cost         float64   // in tokens; Push raises it to at least 1
	Rank         int64     // lower ranks are dequeued first within the organisation
	Expires      time.Time // from this time on, Expire removes the item
	Value        T

	seq       uint64 // insertion order, for items of equal rank
	heapIndex int    // index in the expiry heap, while queued
	queued    bool
}

// Queue is a two-level weighted fair queue: partners, then the organisations of a
// partner. It is not safe for concurrent use.
type Queue[T any] struct {
	limits   Limits
	partners level[*partner[T]]
	byName   map[string]*partner[T]
	expiry   expiryHeap[T]
	seq      uint64
	count    int
	cost     float64
}

// flow is the scheduling state of a partner or an organisation.
type flow struct {
	weight        float64
	virtualFinish float64 // finish tag of the last item served
}

type partner[T any] struct {
	flow
	name   string
	orgs   level[*organisation[T]]
	byName map[string]*organisation[T]
	count  int
	cost   float64
}

type organisation[T any] struct {
	flow
	name  string
	items []*Item[T] // ascending by rank, then in order of insertion
	cost  float64
}

// level is the set of flows that compete with each other. Each level has its own
// virtual time.
type level[F any] struct {
	virtualTime float64
	flows       []F
}

// New returns an empty Queue with the given limits.
func New[T any](limits Limits) *Queue[T] {
	if limits.PerOrganisation <= 0 {
		limits.PerOrganisation = DefaultPerOrganisation
	}
	if limits.PerPartner <= 0 {
		limits.PerPartner = DefaultPerPartner
	}
	return &Queue[T]{limits: limits, byName: map[string]*partner[T]{}}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.count }

// Cost returns the total cost of the queued items, in tokens.
func (q *Queue[T]) Cost() float64 { return q.cost }

// SetWeight sets the weight of an organisation relative to the other
// organisations of its partner. A weight that is not positive counts as 1.
func (q *Queue[T]) SetWeight(partnerName, organisationName string, weight float64) {
	q.organisation(q.partner(partnerName), organisationName).weight = weightOrDefault(weight)
}

// Push enqueues the item. It returns false if the queue of the organisation or of
// the partner is full.
func (q *Queue[T]) Push(it *Item[T]) bool {
	p := q.partner(it.Partner)
	o := q.organisation(p, it.Organisation)
	if len(o.items) >= q.limits.PerOrganisation || p.count >= q.limits.PerPartner {
		return false
	}
	q.seq++
	it.seq = q.seq
	it.queued = true
	it.Cost = max(it.Cost, 1)
	if p.count == 0 {
		p.virtualFinish = max(p.virtualFinish, q.partners.virtualTime)
	}
	if len(o.items) == 0 {
		o.virtualFinish = max(o.virtualFinish, p.orgs.virtualTime)
	}
	at := sort.Search(len(o.items), func(i int) bool { return less(it, o.items[i]) })
	o.items = slices.Insert(o.items, at, it)
	q.updateTotals(p, o, it, 1)
	q.expiry.push(it)
	return true
}

// Remove removes a queued item without charging its partner and organisation. It
// returns false if the item is not queued.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if !it.queued {
		return false
	}
	p := q.byName[it.Partner]
	o := p.byName[it.Organisation]
	at := slices.Index(o.items, it)
	o.items = slices.Delete(o.items, at, at+1)
	it.queued = false
	q.expiry.remove(it)
	q.updateTotals(p, o, it, -1)
	return true
}

// DequeueItem removes a queued item out of order and charges its partner and
// organisation. It returns false if the item is not queued.
func (q *Queue[T]) DequeueItem(it *Item[T]) bool {
	if !it.queued {
		return false
	}
	p := q.byName[it.Partner]
	q.charge(p, p.byName[it.Organisation], it.Cost)
	return q.Remove(it)
}

// Expire removes and returns the items that have expired, earliest first.
func (q *Queue[T]) Expire(now time.Time) []*Item[T] {
	var expired []*Item[T]
	for {
		it := q.expiry.peek()
		if it == nil || it.Expires.After(now) {
			return expired
		}
		q.Remove(it)
		expired = append(expired, it)
	}
}

// NextExpiry returns the earliest expiry time of the queued items, or false if the
// queue is empty.
func (q *Queue[T]) NextExpiry() (time.Time, bool) {
	if it := q.expiry.peek(); it != nil {
		return it.Expires, true
	}
	return time.Time{}, false
}

// Dequeue calls accept for the items in fair order until it returns true. It
// removes that item, charges its partner and organisation and returns it. At most
// maxPerOrganisation items of each organisation are tried; if none is accepted,
// Dequeue returns nil.
func (q *Queue[T]) Dequeue(maxPerOrganisation int, accept func(*Item[T]) bool) *Item[T] {
	sortFlows(q.partners.flows, func(p *partner[T]) float64 { return p.virtualFinish })
	for _, p := range q.partners.flows {
		if p.count == 0 {
			continue
		}
		sortFlows(p.orgs.flows, func(o *organisation[T]) float64 { return o.virtualFinish })
		for _, o := range p.orgs.flows {
			for _, it := range o.items[:min(maxPerOrganisation, len(o.items))] {
				if !accept(it) {
					continue
				}
				q.charge(p, o, it.Cost)
				q.Remove(it)
				return it
			}
		}
	}
	return nil
}

// charge advances the finish tags of both flows by the cost of a served item. The
// virtual time of a level is the start tag of the item in service and never
// decreases.
func (q *Queue[T]) charge(p *partner[T], o *organisation[T], tokens float64) {
	q.partners.virtualTime = max(q.partners.virtualTime, p.virtualFinish)
	p.virtualFinish += tokens / p.weight
	p.orgs.virtualTime = max(p.orgs.virtualTime, o.virtualFinish)
	o.virtualFinish += tokens / o.weight
}

// Backlog describes the queued work that a new item of an organisation meets.
type Backlog struct {
	Total        float64 // queued tokens of all partners
	Partner      float64 // queued tokens of the partner
	Organisation float64 // queued tokens of the organisation
	Share        float64 // the organisation's fair share among the backlogged flows and itself, from 0 to 1
}

// Backlog returns the backlog and the fair share of the organisation, which counts
// as backlogged even if nothing of it is queued.
func (q *Queue[T]) Backlog(partnerName, organisationName string) Backlog {
	p := q.partner(partnerName)
	o := q.organisation(p, organisationName)
	partners := 0.
	for _, other := range q.partners.flows {
		if other == p || other.count > 0 {
			partners += other.weight
		}
	}
	organisations := 0.
	for _, other := range p.orgs.flows {
		if other == o || len(other.items) > 0 {
			organisations += other.weight
		}
	}
	share := p.weight / partners * o.weight / organisations
	return Backlog{Total: q.cost, Partner: p.cost, Organisation: o.cost, Share: share}
}

// Depth is the queue length of one organisation, in items and in tokens.
type Depth struct {
	Partner      string  `json:"partner"`
	Organisation string  `json:"organisation"`
	Items        int     `json:"items"`
	Tokens       float64 `json:"tokens"`
}

// Depths returns the queue lengths of the organisations that have queued items,
// sorted by partner and organisation.
func (q *Queue[T]) Depths() []Depth {
	var depths []Depth
	for _, p := range q.partners.flows {
		for _, o := range p.orgs.flows {
			if len(o.items) > 0 {
				depths = append(depths, Depth{Partner: p.name, Organisation: o.name, Items: len(o.items), Tokens: o.cost})
			}
		}
	}
	sort.Slice(depths, func(i, j int) bool {
		if depths[i].Partner != depths[j].Partner {
			return depths[i].Partner < depths[j].Partner
		}
		return depths[i].Organisation < depths[j].Organisation
	})
	return depths
}

// updateTotals adds the item to the counts and costs if sign is 1 and subtracts it
// if sign is -1.
func (q *Queue[T]) updateTotals(p *partner[T], o *organisation[T], it *Item[T], sign int) {
	q.count += sign
	p.count += sign
	tokens := float64(sign) * it.Cost
	q.cost += tokens
	p.cost += tokens
	o.cost += tokens
}

// partner returns the partner's state and creates it on first use.
func (q *Queue[T]) partner(name string) *partner[T] {
	p, ok := q.byName[name]
	if !ok {
		p = &partner[T]{flow: flow{weight: 1, virtualFinish: q.partners.virtualTime}, name: name, byName: map[string]*organisation[T]{}}
		q.byName[name] = p
		q.partners.flows = append(q.partners.flows, p)
	}
	return p
}

// organisation returns the organisation's state and creates it on first use.
func (q *Queue[T]) organisation(p *partner[T], name string) *organisation[T] {
	o, ok := p.byName[name]
	if !ok {
		o = &organisation[T]{flow: flow{weight: 1, virtualFinish: p.orgs.virtualTime}, name: name}
		p.byName[name] = o
		p.orgs.flows = append(p.orgs.flows, o)
	}
	return o
}

func less[T any](a, b *Item[T]) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.seq < b.seq
}

func weightOrDefault(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 1
}

// sortFlows sorts the flows by key. It uses insertion sort because the order
// changes little between calls.
func sortFlows[F any](flows []F, key func(F) float64) {
	for i := 1; i < len(flows); i++ {
		for j := i; j > 0 && key(flows[j]) < key(flows[j-1]); j-- {
			flows[j], flows[j-1] = flows[j-1], flows[j]
		}
	}
}
