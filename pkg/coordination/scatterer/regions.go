package scatterer

import "github.com/rhubarbpost/rhubarbpost/pkg/state/lister"

// servers returns the servers that may run a sub-request: those of its service in the failure domains
// that its request allows.
func (m *Machine) servers(sub *subRequest) []*lister.Server {
	servers := m.directory.Servers(sub.service)
	if sub.domains == nil {
		return servers
	}
	allowed := make([]*lister.Server, 0, len(servers))
	for _, server := range servers {
		if sub.domains[server.Domain] {
			allowed = append(allowed, server)
		}
	}
	return allowed
}
