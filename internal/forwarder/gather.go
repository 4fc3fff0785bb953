package forwarder

import (
	"errors"
	"io"
	"net/http"
	"strconv"
)

// serveControl serves queries delegated by other hosts, and the calls of peers.
func (f *Forwarder) serveControl(calls http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		version := r.Header.Get(delegationHeader)
		if version == "" {
			calls.ServeHTTP(w, r)
			return
		}
		r.Header.Del(delegationHeader)
		f.gather(w, r, version)
	})
}

// gather serves a query or a request that another host has sent. It declines with status 421
// if this host is not ready, reaches no backend server, has no room for the request or
// can't accept it (it may have no route for it), if the other host has a newer
// configuration, or if a slice was made with another version of the configuration.
func (f *Forwarder) gather(w http.ResponseWriter, r *http.Request, version string) {
	relay, err := takeRelayTerms(r.Header)
	switch {
	case err != nil:
		f.decline(w, err.Error())
		return
	case f.engine.isolated.Load():
		f.metrics.relayAccepted(relay, false)
		f.delegate.addIsolated(w.Header())
		f.decline(w, declinedIsolated)
		return
	case !f.Ready():
		f.decline(w, "")
		return
	}
	body := r.Body
	slice := r.Header.Get(sliceHeader) != "" && !relay.relayed
	unconfirmed := slice && r.ContentLength == proceedLength
	if !unconfirmed {
		err = readProceedByte(body)
		if err != nil {
			// The delegating host has canceled the request; nobody receives this answer.
			f.decline(w, "")
			return
		}
	}
	a, err := f.acceptFromPeer(w, r, version, relay)
	defer f.releaseMemory(a)
	if err == nil {
		defer f.endTurn(a)
	}
	switch {
	case err != nil:
		f.decline(w, err.Error())
	case slice:
		f.room.add(a.route.SubRequests())
		if unconfirmed {
			f.runUnconfirmed(w, r, a, body)
			return
		}
		f.run(w, r, a)
	case !f.room.admit(a.route.SubRequests()):
		f.metrics.relayAccepted(relay, false)
		f.decline(w, declinedBusy)
	default:
		f.metrics.relayAccepted(relay, true)
		f.run(w, r, a)
	}
}

// decline declines a request of another host, which has not run, for a reason that may be
// empty.
func (f *Forwarder) decline(w http.ResponseWriter, reason string) {
	if reason != "" {
		w.Header().Set(declinedHeader, reason)
	}
	w.WriteHeader(http.StatusMisdirectedRequest)
}

var (
	errNotAccepted   = errors.New("this host can't accept the request")
	errOlderVersion  = errors.New("this host has an older configuration")
	errNoMemory      = errors.New(declinedBusy)
	errInvalidSender = errors.New("the version of the other host is not a number")
)

// acceptFromPeer reads a request of another host, made with a version of the configuration.
func (f *Forwarder) acceptFromPeer(w http.ResponseWriter, r *http.Request, version string, relay relayTerms) (*arrival, error) {
	sliceIndexes, needed, spent := r.Header.Get(sliceHeader), r.Header.Get(neededHeader), takeSpent(r.Header)
	removeProceedByte(r)
	a, failure := f.accept(w, r, takeSender(r.Header))
	if failure != nil {
		return a, errNotAccepted
	}
	senderVersion, err := strconv.ParseUint(version, 10, 64)
	switch {
	case err != nil:
		return a, errInvalidSender
	case a.version < senderVersion:
		return a, errOlderVersion
	}
	a.objectiveSpent, a.delegated, a.relay = delegationReserve, true, relay
	if sliceIndexes != "" {
		err = a.restrictTo(sliceIndexes, needed, senderVersion)
	}
	a.objectiveSpent += spent
	if err == nil && f.reserveMemory(a, a.route.SubRequests()) != nil {
		return a, errNoMemory
	}
	return a, err
}

// readProceedByte confirms the receipt of a request (net/http sends 100 Continue
// at the first read) and waits until the delegating host has got that confirmation
// and answers with the proceed byte.
func readProceedByte(body io.Reader) error {
	var first [proceedLength]byte
	_, err := io.ReadFull(body, first[:])
	return err
}

// removeProceedByte removes the Expect header and subtracts the proceed byte from the
// length of the body; exchangeWithGatherer added both to the caller's request.
func removeProceedByte(r *http.Request) {
	r.Header.Del("Expect")
	r.ContentLength -= proceedLength
	if r.ContentLength == 0 {
		r.Body = http.NoBody
	}
}
