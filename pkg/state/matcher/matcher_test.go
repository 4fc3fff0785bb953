package matcher

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	is := is.New(t)
	table, err := New(Config{Routes: []Route{
		{Name: "root", Host: "a.example", Prefix: "/", Target: &Single{Service: "s"}},
		{Name: "short", Host: "a.example", Prefix: "/x/", Target: &Single{Service: "s"}},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Target: &Single{Service: "s"}},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/", Target: &Single{Service: "s"}},
	}})
	is.NoErr(err)
	for path, want := range map[string]string{
		"/x/y/z/1": "long", "/x/y/": "long", "/x/y": "short", "/x/yy/1": "short", "/xx/": "root", "/": "root",
	} {
		route, ok := table.Match("a.example", path)
		is.True(ok)
		is.Equal(route.Name, want) // the longest prefix of the path
	}
	_, ok := table.Match("b.example", "/x/y/1")
	is.True(!ok) // a prefix of another host
	_, ok = table.Match("c.example", "/")
	is.True(!ok)
	_, ok = table.Match("b.example", "no slash")
	is.True(!ok)
}

// TestInvalidRouteIsUnusable adds an invalid route to valid ones, which must still be matched; its
// requests must not go by the one with a shorter prefix.
func TestInvalidRouteIsUnusable(t *testing.T) {
	for name, bad := range map[string]Route{
		"no target":          {Name: "bad", Host: "h", Prefix: "/b/"},
		"no service":         {Name: "bad", Host: "h", Prefix: "/b/", Target: &Single{}},
		"no slash":           {Name: "bad", Host: "h", Prefix: "/b", Target: &Single{Service: "s"}},
		"weights of zero":    {Name: "bad", Host: "h", Prefix: "/b/", Target: &Weighted{Services: []WeightedService{{Service: "s"}}}},
		"no shards":          {Name: "bad", Host: "h", Prefix: "/b/", Target: &Sharded{}},
		"coverage above one": {Name: "bad", Host: "h", Prefix: "/b/", Target: &Sharded{Services: []string{"s"}, MinCoverage: 1.5}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			good := Route{Name: "good", Host: "h", Prefix: "/g/", Target: &Single{Service: "s"}}
			shorter := good
			shorter.Prefix = "/"
			table, err := New(Config{Routes: []Route{shorter, bad, good}})
			is.True(err != nil && strings.Contains(err.Error(), `"bad"`))
			_, ok := table.Match("h", "/g/1")
			is.True(ok)
			route, ok := table.Match("h", "/b/1")
			is.True(ok)
			_, unusable := route.Target.(*Unusable)
			is.Equal(unusable, strings.HasSuffix(bad.Prefix, "/")) // without a slash it has no paths
		})
	}
}
