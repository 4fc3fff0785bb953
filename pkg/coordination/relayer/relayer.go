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

// Choose returns a host of the first tier that has one which is neither tried nor avoided,
// at random by the rates of the hosts. If all are avoided, it returns one that was last tried
// some time ago, and false if there is none. domain is the failure domain of this host. Sent
// is to be called for the host chosen.
func (p *Peers) Choose(now time.Time, domain string, tiers [][]delegator.Host, tried []string) (delegator.Host, bool) {
	for _, usable := range []func(host string) bool{
		func(host string) bool { return !p.Avoided(now, host) },
		func(host string) bool { return now.Sub(p.state(host).avoidedAt) >= retryTime },
	} {
		for _, tier := range tiers {
			host, ok := p.chooseFrom(domain, tier, func(host string) bool {
				return usable(host) && !slices.Contains(tried, host)
			})
			if ok {
				return host, true
			}
		}
	}
	return delegator.Host{}, false
}

// chooseFrom returns one of the usable hosts at random by their weights.
func (p *Peers) chooseFrom(domain string, hosts []delegator.Host, usable func(host string) bool) (chosen delegator.Host, ok bool) {
	sum := 0.0
	for _, host := range hosts {
		if !usable(host.Name) {
			continue
		}
		weight := p.weight(domain, host)
		sum += weight
		// Each host replaces those before it with the probability of its share of the sum.
		if p.random.Float64()*sum < weight {
			chosen, ok = host, true
		}
	}
	return chosen, ok
}

// weight returns the share of requests of a host: its rate, less if it has requests of this
// host in flight.
func (p *Peers) weight(domain string, host delegator.Host) float64 {
	weight := host.SubRequestRate() / float64(1+p.state(host.Name).inFlight)
	if host.Domain == domain {
		weight *= ownDomainWeight
	}
	return weight
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
	case Isolated:
		s.avoid(now, isolatedTime, true)
	case Busy:
		s.avoid(now, busyTime, false)
	case Unreached:
		s.avoid(now, failedTime, false)
	case Declined, Canceled:
	}
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
		}
	}
}
