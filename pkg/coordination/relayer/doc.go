// Package relayer chooses the peers through which a host sends requests whose backend
// servers it can't reach, and bounds what a host accepts from such peers.
package relayer
