package relayer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/delegator"
)

const (
	// ownDomainWeight is the preference for a peer of the own failure domain: the way is
	// shorter, and traffic between failure domains costs money.
	ownDomainWeight = 2
	// isolatedTime, busyTime and failedTime are how long a peer is avoided that reaches no
	// backend server itself, that has no room, or that did not respond.
	isolatedTime = time.Second
	busyTime     = 200 * time.Millisecond
	failedTime   = time.Second
	// retryTime is how long ago an avoided peer must have been tried to be tried again while
	// all are avoided.
	retryTime = 200 * time.Millisecond
	// provenTime is how long a peer that has accepted a request is preferred, provenShare the
	// fraction of requests for which it is.
	provenTime  = time.Second
	provenShare = 0.8
	// maxProven is the number of such peers that are remembered.
	maxProven = 16
	// maxDraws is how many hosts are drawn before all are looked at.
	maxDraws = 8
)

// Outcome is how an exchange with a peer has ended.
type Outcome int

const (
	// Accepted means that the peer took the request.
	Accepted Outcome = iota
	// Isolated means that the peer reaches no backend server.
	Isolated
	// Busy means that the peer has no room for more requests.
	Busy
	// Declined means that the peer can't serve this request, such as for its version of the
	// configuration.
	Declined
	// Unreached means that the peer did not confirm the receipt.
	Unreached
	// Canceled means that this host canceled the exchange.
	Canceled
)

type peerState struct {
	inFlight int
	// avoidedUntil is the time before which the peer gets no requests, avoidedAt when the
	// reason was observed. isolated is set if the reason is that it reaches no backend server.
	avoidedUntil time.Time
	avoidedAt    time.Time
	isolated     bool
	// acceptedAt is when the peer last accepted a request.
	acceptedAt time.Time
}

func (s *peerState) avoid(at time.Time, length time.Duration, isolated bool) {
	s.avoidedAt, s.avoidedUntil, s.isolated = at, at.Add(length), isolated
}

// Peers holds what this host has seen of its peers.
type Peers struct {
	random *rand.Rand
	peers  map[string]*peerState
	// proven holds the peers that have accepted requests last, the latest first.
	proven []string
}

// NewPeers returns peers about which nothing is known. The random numbers decide among
// equal peers.
func NewPeers(random *rand.Rand) *Peers {
	return &Peers{random: random, peers: make(map[string]*peerState)}
}

func (p *Peers) state(name string) *peerState {
	s := p.peers[name]
	if s == nil {
		s = &peerState{}
		p.peers[name] = s
	}
	return s
}

// Avoided reports whether a host should get no requests now.
func (p *Peers) Avoided(now time.Time, name string) bool {
	s := p.peers[name]
	return s != nil && now.Before(s.avoidedUntil)
}

// Tier is an immutable list of hosts with their shares of requests.
type Tier struct {
	hosts []delegator.Host
	// sums has the sum of the weights of the hosts up to each one, places the index of each.
	sums   []float64
	places map[string]int
}

// NewTier returns the tier of some hosts for a host of a failure domain.
func NewTier(domain string, hosts []delegator.Host) Tier {
	t := Tier{hosts: hosts, sums: make([]float64, len(hosts)), places: make(map[string]int, len(hosts))}
	sum := 0.0
	for i, host := range hosts {
		weight := host.SubRequestRate()
		if host.Domain == domain {
			weight *= ownDomainWeight
		}
		sum += weight
		t.sums[i] = sum
		t.places[host.Name] = i
	}
	return t
}

// weight returns the share of requests of a host.
func (t Tier) weight(i int) float64 {
	if i == 0 {
		return t.sums[0]
	}
	return t.sums[i] - t.sums[i-1]
}

// draw returns a host at random by the weights; place is in the range [0, 1).
func (t Tier) draw(place float64) delegator.Host {
	i, _ := slices.BinarySearch(t.sums, place*t.sums[len(t.sums)-1])
	return t.hosts[min(i, len(t.hosts)-1)]
}

// Choose returns a host of the first tier that has one which is neither tried nor avoided,
// at random by the rates of the hosts, fewer of those that have requests in flight, and mostly
// among those that have accepted a request lately. If all are avoided, it returns one that was
// last tried some time ago, and false if there is none. Sent is to be called for the host
// chosen.
func (p *Peers) Choose(now time.Time, tiers []Tier, tried []string) (delegator.Host, bool) {
	usable := func(host string) bool { return !p.Avoided(now, host) && !slices.Contains(tried, host) }
	again := func(host string) bool {
		s := p.peers[host]
		return (s == nil || now.Sub(s.avoidedAt) >= retryTime) && !slices.Contains(tried, host)
	}
	if p.random.Float64() < provenShare {
		for _, tier := range tiers {
			host, ok := p.chooseProven(now, tier, usable)
			if ok {
				return host, true
			}
		}
	}
	for _, condition := range []func(host string) bool{usable, again} {
		for _, tier := range tiers {
			host, ok := p.chooseFrom(tier, condition)
			if ok {
				return host, true
			}
		}
	}
	return delegator.Host{}, false
}

// lottery chooses one of some hosts at random by weights: each replaces those before it with the
// probability of its share of the sum.
type lottery struct {
	random *rand.Rand
	sum    float64
	chosen delegator.Host
	ok     bool
}

func (l *lottery) add(host delegator.Host, weight float64) {
	l.sum += weight
	if l.random.Float64()*l.sum < weight {
		l.chosen, l.ok = host, true
	}
}

// chooseProven returns one of the usable hosts that have accepted a request lately.
func (p *Peers) chooseProven(now time.Time, tier Tier, usable func(host string) bool) (delegator.Host, bool) {
	l := lottery{random: p.random}
	for _, name := range p.proven {
		i, ok := tier.places[name]
		if ok && usable(name) && now.Sub(p.peers[name].acceptedAt) < provenTime {
			l.add(tier.hosts[i], tier.weight(i)/float64(1+p.inFlight(name)))
		}
	}
	return l.chosen, l.ok
}

// chooseFrom returns one of the hosts that fulfil a condition.
func (p *Peers) chooseFrom(tier Tier, condition func(host string) bool) (delegator.Host, bool) {
	if len(tier.hosts) == 0 {
		return delegator.Host{}, false
	}
	for range maxDraws {
		host := tier.draw(p.random.Float64())
		if condition(host.Name) && p.random.Float64()*float64(1+p.inFlight(host.Name)) < 1 {
			return host, true
		}
	}
	l := lottery{random: p.random}
	for i, host := range tier.hosts {
		if condition(host.Name) {
			l.add(host, tier.weight(i)/float64(1+p.inFlight(host.Name)))
		}
	}
	return l.chosen, l.ok
}

func (p *Peers) inFlight(name string) int {
	s := p.peers[name]
	if s == nil {
		return 0
	}
	return s.inFlight
}

// Sent records that a request is sent to a host.
func (p *Peers) Sent(name string) {
	p.state(name).inFlight++
}

// Ended records the end of an exchange with a host.
func (p *Peers) Ended(now time.Time, name string, outcome Outcome) {
	s := p.state(name)
	s.inFlight = max(s.inFlight-1, 0)
	p.Learn(now, name, outcome)
}

// Learn records what an exchange that Sent does not count has shown of a host.
func (p *Peers) Learn(now time.Time, name string, outcome Outcome) {
	s := p.state(name)
	switch outcome {
	case Accepted:
		s.avoidedUntil, s.acceptedAt = time.Time{}, now
		p.rememberProven(name)
	case Isolated:
		s.avoid(now, isolatedTime, true)
	case Busy:
		s.avoid(now, busyTime, false)
	case Unreached:
		s.avoid(now, failedTime, false)
	case Declined, Canceled:
	}
}

func (p *Peers) rememberProven(name string) {
	p.proven = slices.DeleteFunc(p.proven, func(other string) bool { return other == name })
	p.proven = slices.Insert(p.proven[:min(len(p.proven), maxProven-1)], 0, name)
}

// Hear records that another host has found out, some time ago, that a host reaches no backend
// server. What this host has observed itself since then outweighs that.
func (p *Peers) Hear(now time.Time, name string, age time.Duration) {
	at := now.Add(-age)
	s := p.state(name)
	if at.After(s.avoidedAt) && at.After(s.acceptedAt) {
		s.avoid(at, isolatedTime, true)
	}
}

// Isolated returns the hosts known to reach no backend server, and how long ago that was found
// out.
func (p *Peers) Isolated(now time.Time) map[string]time.Duration {
	isolated := make(map[string]time.Duration)
	for name, s := range p.peers {
		if s.isolated && now.Before(s.avoidedUntil) {
			isolated[name] = now.Sub(s.avoidedAt)
		}
	}
	return isolated
}

// Retain drops what is known of hosts that are no longer listed.
func (p *Peers) Retain(hosts []delegator.Host) {
	for name, s := range p.peers {
		listed := slices.ContainsFunc(hosts, func(h delegator.Host) bool { return h.Name == name })
		if !listed && s.inFlight == 0 {
			delete(p.peers, name)
			p.proven = slices.DeleteFunc(p.proven, func(other string) bool { return other == name })
		}
	}
}
