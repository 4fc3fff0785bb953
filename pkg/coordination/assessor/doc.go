// Package assessor decides whether a host is fit to take callers. A host that
// is cut off from the store and from the backend servers that its routes need
// is not: the balancer then sends callers to another failure domain, where they
// are served.
package assessor
