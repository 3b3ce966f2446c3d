package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/rendezvous"
)

const (
	// helpersPerGroup is how many hosts of its own failure domain, and of the others, a
	// host asks for help as long as they take its requests. Hosts choose different ones, so
	// that the load is spread.
	helpersPerGroup = 4
	// Times for which a host is not asked again: after it could not be reached, after it
	// refused because it reaches no target itself or drains, and after it refused because
	// it has enough requests of others. Each is lengthened by up to as much at random.
	lostCooldown       = 2 * time.Second
	unableCooldown     = 750 * time.Millisecond
	overloadedCooldown = 200 * time.Millisecond
)

// HostInfo names another host.
type HostInfo struct {
	ID     string
	Domain string
}

// helperPicker chooses the hosts to ask for help. It is safe for concurrent use.
type helperPicker struct {
	self   HostInfo
	hosts  func() []HostInfo // known hosts other than this one
	mu     sync.Mutex
	asked  map[string]int       // requests in progress, by host
	notAsk map[string]time.Time // until when a host is not asked
}

func newHelperPicker(self HostInfo, hosts func() []HostInfo) *helperPicker {
	return &helperPicker{self: self, hosts: hosts, asked: make(map[string]int), notAsk: make(map[string]time.Time)}
}

// pick returns the hosts to offer a request to, the preferred ones first, in failure
// domains that permits allows. Hosts of the
// own failure domain come first unless most of those that this host knows to ask there
// cannot help: the few that can would get the requests of the whole domain.
func (p *helperPicker) pick(count int, permits func(domain string) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	own, others := p.groups(permits)
	near, nearUsable := p.usable(own)
	far, _ := p.usable(others)
	first, second := near, far
	if 2*nearUsable < min(len(own), helpersPerGroup) {
		first, second = far, near
	}
	return firstOfEach(p.byLoad(first), p.byLoad(second), count)
}

// groups returns the ids of the hosts of the own failure domain and of the others.
func (p *helperPicker) groups(permits func(domain string) bool) (own, others []string) {
	for _, h := range p.hosts() {
		if permits != nil && !permits(h.Domain) {
			continue
		}
		if h.Domain == p.self.Domain {
			own = append(own, h.ID)
		} else {
			others = append(others, h.ID)
		}
	}
	return own, others
}

// usable returns the hosts of a group to ask, and how many of the group's preferred ones
// are among them.
func (p *helperPicker) usable(group []string) (hosts []string, preferred int) {
	for _, id := range rendezvous.Top(p.self.ID, group, helpersPerGroup) {
		if !p.excluded(id) {
			preferred++
		}
	}
	var askable []string
	for _, id := range group {
		if !p.excluded(id) {
			askable = append(askable, id)
		}
	}
	return rendezvous.Top(p.self.ID, askable, helpersPerGroup), preferred
}

// byLoad returns the better of two random hosts first, then the others.
func (p *helperPicker) byLoad(hosts []string) []string {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	if len(hosts) > 1 && p.asked[hosts[1]] < p.asked[hosts[0]] {
		hosts[0], hosts[1] = hosts[1], hosts[0]
	}
	return hosts
}

// firstOfEach returns up to count hosts: the first of each group, then the rest of both.
func firstOfEach(a, b []string, count int) []string {
	var out []string
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			out = append(out, a[i])
		}
		if i < len(b) {
			out = append(out, b[i])
		}
	}
	return out[:min(len(out), count)]
}

func (p *helperPicker) excluded(host string) bool { return time.Now().Before(p.notAsk[host]) }

// expire forgets hosts that may be asked again.
func (p *helperPicker) expire() {
	for host := range p.notAsk {
		if !p.excluded(host) {
			delete(p.notAsk, host)
		}
	}
}

// exclude keeps a host from being asked for a while.
func (p *helperPicker) exclude(host string, cooldown time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notAsk[host] = time.Now().Add(cooldown + rand.N(cooldown))
}

// start counts a request that a host has taken. The caller calls the returned function
// once when it has ended.
func (p *helperPicker) start(host string) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked[host]++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.asked[host]--; p.asked[host] == 0 {
			delete(p.asked, host)
		}
	}
}
