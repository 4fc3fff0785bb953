// Package detector decides which failure domains have backend servers that this host can
// reach. Attempts without any response, and connections that fail, raise a doubt; probes,
// which open a connection and send nothing, then settle it. A host can so tell a partition
// from slow servers, and notices that it has ended without sending requests.
package detector
