package forwarder

// MaxBodyBytes is the size of a caller's body in bytes that hosts take at most, whatever the
// configuration allows.
const MaxBodyBytes = maxBodyBytes
