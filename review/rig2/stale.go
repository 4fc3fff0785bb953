package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// replicaLag is how far behind the store's other replica is.
	replicaLag = 6 * time.Second
	// heartbeat is heartbeat_ms of the site.
	heartbeat = 1200 * time.Millisecond
	// warmup is how long a server is slow after its start.
	warmup = 3 * time.Second
	// contact is contact_ms of the site.
	contact = 5 * time.Second
	// otherServers is the number of servers of the two shard sets.
	otherServers = 675

	firstPath, addedPath = "/first/", "/added/"
	firstService         = "orderdesk"
	addedService         = "archive"
	requestWork          = 20 * time.Millisecond
	clientDeadline       = 2 * time.Second
)

var errNoBaseline = errors.New("the routes weren't served before the disruption")

// staleList starts servers, has a configuration name them, and kills all hosts, which list the servers
// again.
func staleList(s *setting) (broken bool, err error) {
	zones := []string{"sapporo", "asahikawa", "hakodate"}
	st, err := newStore()
	if err != nil {
		return false, err
	}
	fillStore(st, zones)
	_, err = startServersAt(st, firstService, "i-1", zones, requestWork)
	if err != nil {
		return false, err
	}
	configure(st, 3, route("first", firstPath, firstService))
	time.Sleep(replicaLag + time.Second)
	err = startHosts(s, st, zones, grownSite)
	if err != nil {
		return false, err
	}
	first, _ := s.askAll(firstPath, "", 2*time.Second)
	s.record.add("first route before: %v", first)
	err = startColdServers(st, addedService, "i-2", zones)
	if err != nil {
		return false, err
	}
	s.record.add("servers of %s have started", addedService)
	time.Sleep(1500 * time.Millisecond)
	configure(st, 7, route("first", firstPath, firstService), route("added", addedPath, addedService))
	s.record.add("version 7 is acknowledged")
	// The servers have warmed up then, and write nothing new any more.
	time.Sleep(2200 * time.Millisecond)
	before, added := s.askAll(firstPath, addedPath, 200*time.Millisecond)
	s.record.add("before the disruption: first route %v, added route %v", before, added)
	if first.share() < 1 || added.share() < 1 {
		return false, errNoBaseline
	}
	if s.trouble {
		err = killAll(s, st, zones)
		if err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	st.setLag(nil)
	s.record.add("the replica no longer lags")
	time.Sleep(2 * contact)
	before, added = s.askAll(firstPath, addedPath, 15*time.Second)
	s.record.add("from %v after the disruption on: first route %v, added route %v", 2*contact, before, added)
	s.record.add("pages of lists that the lagging replica has served: %d", st.stale)
	return added.sent >= 20 && added.share() < before.share()/4, nil
}

// fillStore has a replica of the store lag, and writes the entries of the servers of the shards.
func fillStore(st *store, zones []string) {
	// A list that goes on after a name is served by the replica that lags, all else by the other one.
	st.setLag(func(r *http.Request) time.Duration {
		if r.URL.Query().Has("after") {
			return replicaLag
		}
		return 0
	})
	for i := range otherServers {
		st.put("servers", fmt.Sprintf("i-0%04d", i), entryOf(fmt.Sprintf("shard%d", i/3), fmt.Sprintf("127.0.0.9:%d", 20000+i), zones[i%3], 0, 1, 1))
	}
}

func route(name, path, service string) map[string]any {
	return map[string]any{
		keyName: name, "hostname": routeHost, "path_prefix": path, "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 500,
		"attempts": 2, "priority": 1, "service": service,
	}
}

// configure writes a version of the configuration.
func configure(st *store, version int, routes ...map[string]any) {
	st.put("config", "main", map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{keyName: firstService, "max_conns": 550}, map[string]any{keyName: addedService, "max_conns": 550}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
}

// startColdServers starts a server a zone, which write their entries until they have warmed up.
func startColdServers(st *store, service, prefix string, zones []string) error {
	for i, zone := range zones {
		server, err := newServer(fmt.Sprintf("%s%04d", prefix, i), service, zone, requestWork)
		if err != nil {
			return err
		}
		st.put("servers", server.id, server.entry(warmup, 1))
		go func() {
			begun := time.Now()
			for sequence := 2; ; sequence++ {
				time.Sleep(heartbeat)
				left := max(warmup-time.Since(begun), 0)
				st.put("servers", server.id, server.entry(left, sequence))
				if left == 0 {
					return
				}
			}
		}()
	}
	return nil
}

// startServersAt starts a server a zone that has warmed up.
func startServersAt(st *store, service, prefix string, zones []string, work time.Duration) ([]*server, error) {
	servers := make([]*server, len(zones))
	for i, zone := range zones {
		server, err := newServer(fmt.Sprintf("%s%04d", prefix, i), service, zone, work)
		if err != nil {
			return nil, err
		}
		st.put("servers", server.id, server.entry(0, 1))
		servers[i] = server
	}
	return servers, nil
}

// startHosts starts all hosts for the first time.
func startHosts(s *setting, st *store, zones []string, b bounds) error {
	hosts, err := newHosts(s.dir, zones, 2, b)
	if err != nil {
		return err
	}
	s.hosts = hosts
	err = s.startAll(st, zones, true)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return awaitReady(hosts, 10*time.Second)
}

func (s *setting) startAll(st *store, zones []string, first bool) error {
	seeds := []string{s.hosts[0].control(), s.hosts[1].control(), s.hosts[2].control()}
	for _, h := range s.hosts {
		err := h.writeSettings(st.address, zones, seeds, first)
		if err != nil {
			return err
		}
		err = h.start()
		if err != nil {
			return err
		}
	}
	return nil
}

// killAll kills all hosts at the same moment and starts them again.
func killAll(s *setting, st *store, zones []string) error {
	for _, h := range s.hosts {
		h.kill()
	}
	s.record.add("all hosts are killed")
	time.Sleep(300 * time.Millisecond)
	err := s.startAll(st, zones, false)
	if err != nil {
		return err
	}
	s.record.add("all hosts are started again")
	return awaitReady(s.hosts, 10*time.Second)
}

// tally counts answers.
type tally struct {
	sent, served int
	statuses     map[int]int
}

func (t *tally) add(a answer) {
	if t.statuses == nil {
		t.statuses = make(map[int]int)
	}
	t.sent++
	t.statuses[a.status]++
	if a.served() {
		t.served++
	}
}

func (t tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

func (t tally) String() string {
	return fmt.Sprintf("%d of %d served, statuses %v", t.served, t.sent, t.statuses)
}

// askAll sends requests to all hosts in turn, on one or two routes, for a time.
func (s *setting) askAll(onePath, otherPath string, length time.Duration) (one, other tally) {
	for until := time.Now().Add(length); time.Now().Before(until); {
		for _, h := range s.hosts {
			a := ask(http.MethodGet, h.callers(), onePath+"x", clientDeadline)
			s.record.add("%s %s: %v", h.name, onePath, a)
			one.add(a)
			if otherPath == "" {
				continue
			}
			a = ask(http.MethodGet, h.callers(), otherPath+"x", clientDeadline)
			s.record.add("%s %s: %v", h.name, otherPath, a)
			other.add(a)
		}
	}
	return one, other
}
