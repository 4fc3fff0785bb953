// Package assessor decides whether a host is ready to take callers. A host that is
// partitioned from the store and from the backend servers of its routes is not
// ready: the balancer then sends callers to another failure domain, which can serve
// them.
package assessor
