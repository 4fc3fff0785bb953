package vetter

import (
	"testing"

	"github.com/matryer/is"
)

func TestFingerprintTellsRequestsApart(t *testing.T) {
	is := is.New(t)
	base := Identity{Method: "GET", Host: "h", Target: "/a?b=c", Caller: "k", Body: []byte("x")}
	others := []Identity{
		{Method: "POST", Host: "h", Target: "/a?b=c", Caller: "k", Body: []byte("x")},
		{Method: "GET", Host: "g", Target: "/a?b=c", Caller: "k", Body: []byte("x")},
		{Method: "GET", Host: "h", Target: "/a?b=d", Caller: "k", Body: []byte("x")},
		{Method: "GET", Host: "h", Target: "/a?b=c", Caller: "l", Body: []byte("x")},
		{Method: "GET", Host: "h", Target: "/a?b=c", Caller: "k", Body: []byte("y")},
		{Method: "GET", Host: "h", Target: "/a?b=ck", Body: []byte("x")},      // bytes moved between parts
		{Method: "GET", Host: "h", Target: "/a?b=c", Caller: "kx"},            // into the caller
		{Method: "GETh", Target: "/a?b=c", Caller: "k", Body: []byte("x")},    // into the method
		{Method: "GET", Host: "h/a?b=c", Caller: "k", Body: []byte("x")},      // into the host
		{Method: "GET", Host: "h", Target: "/a", Caller: "k", Body: nil},      // less
		{Method: "GET", Host: "h", Target: "/a?b=c&", Caller: "k", Body: nil}, // more
	}
	seen := map[Fingerprint]bool{base.Fingerprint(): true}
	for _, other := range others {
		is.True(!seen[other.Fingerprint()])
		seen[other.Fingerprint()] = true
	}
	again := base
	is.Equal(again.Fingerprint(), base.Fingerprint())
}

func TestFingerprintIsReadBack(t *testing.T) {
	is := is.New(t)
	want := Identity{Target: "/a"}.Fingerprint()
	text, err := want.MarshalText()
	is.NoErr(err)
	var got Fingerprint
	is.NoErr(got.UnmarshalText(text))
	is.Equal(got, want)
	for _, bad := range []string{"", "ab", string(text) + "0", "zz" + string(text[2:])} {
		is.True(got.UnmarshalText([]byte(bad)) != nil)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	i := Identity{Method: "GET", Host: "shop.example", Target: "/bago370/no17/32b422?page=7&sort=new"}
	for b.Loop() {
		_ = i.Fingerprint()
	}
}
