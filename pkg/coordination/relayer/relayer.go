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
	isolatedTime = 500 * time.Millisecond
	busyTime     = 200 * time.Millisecond
	failedTime   = time.Second
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
	// avoidedUntil is the time before which the peer gets no requests.
	avoidedUntil time.Time
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
// at random by the rates of the hosts, and false if there is none in any tier. domain is the
// failure domain of this host. Sent is to be called for the host chosen.
func (p *Peers) Choose(now time.Time, domain string, tiers [][]delegator.Host, tried []string) (delegator.Host, bool) {
	for _, tier := range tiers {
		weights := make([]float64, len(tier))
		sum := 0.0
		for i, host := range tier {
			if p.Avoided(now, host.Name) || slices.Contains(tried, host.Name) {
				continue
			}
			weights[i] = p.weight(domain, host)
			sum += weights[i]
		}
		if sum == 0 {
			continue
		}
		place := p.random.Float64() * sum
		last := 0
		for i, weight := range weights {
			if weight == 0 {
				continue
			}
			last = i
			place -= weight
			if place < 0 {
				break
			}
		}
		return tier[last], true
	}
	return delegator.Host{}, false
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
		s.avoidedUntil = time.Time{}
	case Isolated:
		s.avoidedUntil = now.Add(isolatedTime)
	case Busy:
		s.avoidedUntil = now.Add(busyTime)
	case Unreached:
		s.avoidedUntil = now.Add(failedTime)
	case Declined, Canceled:
	}
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
