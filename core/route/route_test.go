package route

import (
	"testing"
	"time"
)

func validTable() Table {
	return Table{
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "short", Host: "shop.example", Prefix: "/o/", Kind: Safe, Timeout: time.Second, Targets: []Target{{"a", 1}}},
			{Name: "long", Host: "shop.example", Prefix: "/o/x/", Kind: Unsafe, Timeout: time.Second, Targets: []Target{{"b", 90}, {"a", 10}}},
		},
	}
}

// TestMatchReturnsTheLongestPrefixOfTheHost guards against a request that is
// sent to the service of a shorter prefix or of another host.
func TestMatchReturnsTheLongestPrefixOfTheHost(t *testing.T) {
	table := validTable()
	for name, prefix := range map[string]string{"encoded": "/p%2Fq/", "percent": "/100%/", "letter": "/é/"} {
		table.Routes = append(table.Routes, Route{Name: name, Host: "shop.example", Prefix: prefix})
	}
	x := NewIndex(&table)
	for _, c := range []struct{ name, host, path, want string }{
		{"short prefix", "shop.example", "/o/1", "short"},
		{"long prefix", "shop.example", "/o/x/1", "long"},
		{"host with port and capitals", "SHOP.example:80", "/o/x/", "long"},
		{"prefix without its slash", "shop.example", "/o", ""},
		{"other host", "other.example", "/o/1", ""},
		{"encoded slash after the short prefix", "shop.example", "/o/x%2F1", "short"},
		{"encoded slash in lower case", "shop.example", "/o/x%2f1", "short"},
		{"encoded slash in place of the first", "shop.example", "%2Fo/1", ""},
		{"encoded percent sign before what looks like a slash", "shop.example", "/o/x%252F1", "short"},
		{"encoded letter of the long prefix", "shop.example", "/o/%78/1", "long"},
		{"invalid encoding", "shop.example", "/o/%zz", "short"},
		{"prefix with an encoded slash", "shop.example", "/p%2fq/1", "encoded"},
		{"decoded form of a prefix with an encoded slash", "shop.example", "/p/q/1", ""},
		{"prefix with a percent sign of its own", "shop.example", "/100%25/1", "percent"},
		{"prefix with a letter that callers encode", "shop.example", "/%C3%A9/1", "letter"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if r, _ := x.Match(c.host, c.path); r.Name != c.want {
				t.Errorf("route %q, want %q", r.Name, c.want)
			}
		})
	}
}

// TestChooseServiceFollowsTheWeights guards against a split that favours one
// service or selects none of the targets.
func TestChooseServiceFollowsTheWeights(t *testing.T) {
	r := validTable().Routes[1]
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.ChooseService(float64(i)/1000)]++
	}
	if counts["b"] != 900 || counts["a"] != 100 {
		t.Errorf("requests by service: %v, want 900 for b and 100 for a", counts)
	}
}

// TestValidateRejectsInvalidTables guards against an invalid table that is
// accepted.
func TestValidateRejectsInvalidTables(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Table)
	}{
		{"unknown service", func(t *Table) { t.Routes[0].Targets[0].Service = "none" }},
		{"same host and prefix", func(t *Table) { t.Routes[1].Prefix = t.Routes[0].Prefix }},
		{"no weight", func(t *Table) { t.Routes[0].Targets[0].Weight = 0 }},
		{"no targets", func(t *Table) { t.Routes[0].Targets = nil }},
		{"no timeout", func(t *Table) { t.Routes[0].Timeout = 0 }},
		{"unknown kind", func(t *Table) { t.Routes[0].Kind = "other" }},
		{"prefix without slash", func(t *Table) { t.Routes[0].Prefix = "/o" }},
		{"service named twice", func(t *Table) { t.Services[1].Name = "a" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := validTable()
			if err := table.Validate(); err != nil {
				t.Fatalf("the unchanged table is invalid: %v", err)
			}
			c.change(&table)
			if table.Validate() == nil {
				t.Error("the changed table is valid, want an error")
			}
		})
	}
}
