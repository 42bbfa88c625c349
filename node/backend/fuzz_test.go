package backend

import (
	"encoding/json"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/node/memory"
)

// post sends a body to a handler and returns the status and the body of the answer.
func post(t *testing.T, handler echo.HandlerFunc, body string) (int, string) {
	t.Helper()
	web, rec := echo.New(), httptest.NewRecorder()
	c := web.NewContext(httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)), rec)
	if err := handler(c); err != nil {
		t.Fatal(err)
	}
	return rec.Code, rec.Body.String()
}

// checkRefusal requires an answer that names the field and the allowed values.
func checkRefusal(t *testing.T, status int, answer string) {
	t.Helper()
	var e AnnouncementError
	if err := json.Unmarshal([]byte(answer), &e); err != nil || status != http.StatusBadRequest || e.Field == "" || e.Allowed == "" {
		t.Errorf("status %d, body %s; want status 400 with field and allowed", status, answer)
	}
}

var announcementSeeds = []string{
	`{"name":"r","service":"s","kind":"engine","address":"127.0.0.1:80","incarnation":1,"models":[{"model":"m","phase":"ready"}],"cached":[{"model":"m","tier":"disk"}]}`,
	`{"name":"r","service":"s","kind":"plain","address":"[::1]:80","incarnation":1}`,
	`{"name":"r","service":"s","kind":"plain","address":"[::0:1]:80","incarnation":1}`,
	`{"name":"r","service":"s","kind":"plain","address":"localhost:80","incarnation":1}`,
	`{"name":"r","service":"s","kind":"plain","address":"127.0.0.1:080","incarnation":1}`,
	`{"name":"r","service":"s","kind":"engine","address":"127.0.0.1:80","incarnation":1,"load":{"running":-1}}`,
	`{"name":"r","service":"s","kind":"engine","address":"127.0.0.1:80","incarnation":1,"accelerators":-1}`,
	`{"name":"` + strings.Repeat("r", 256) + `","service":"s","kind":"engine","address":"127.0.0.1:80","incarnation":1}`,
	`{"incarnation":-1}`, `[]`, `{`, ``, `null`,
}

// FuzzAnnouncement guards against announcements that crash a host, and against
// malformed ones that are accepted.
func FuzzAnnouncement(f *testing.F) {
	for _, s := range announcementSeeds {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, body string) {
		var got *membership.Server
		handler := AnnounceHandler(memory.New(memory.DefaultLimit, nil), func(s membership.Server) { got = &s }, func() AnnouncementAnswer { return AnnouncementAnswer{} })
		status, answer := post(t, handler, body)
		if got == nil {
			checkRefusal(t, status, answer)
			return
		}
		a, err := netip.ParseAddrPort(got.Address)
		if err != nil || a.String() != got.Address || a.Port() == 0 {
			t.Errorf("accepted address %q is not canonical", got.Address)
		}
		if got.MemoryMiB < 0 || got.Accelerators < 0 || got.Load.Running < 0 || got.Load.Queued < 0 || got.Load.KVUsedMiB < 0 {
			t.Errorf("accepted an announcement with a negative number: %+v", got)
		}
		texts := []string{got.Name, got.Service, got.DataCentre, got.Engine}
		for _, r := range got.Models {
			texts = append(texts, r.Model, r.Adapter, r.Version)
		}
		for _, c := range got.Cached {
			texts = append(texts, c.Model, c.Version)
		}
		for _, s := range texts {
			if len(s) > 255 {
				t.Errorf("accepted a text of %d bytes, want at most 255", len(s))
			}
		}
		if got.Name == "" || got.Service == "" || got.Incarnation == 0 || len(got.Models) > 10_000 || len(got.Cached) > 10_000 {
			t.Errorf("accepted an announcement with a missing field or a list that is too long: %+v", got)
		}
	})
}

// FuzzCacheReport guards against cache reports that crash a host, and against
// accepted ones whose event numbers overflow.
func FuzzCacheReport(f *testing.F) {
	f.Add(`{"server":"r","incarnation":1,"first":1,"events":[{"prefix":"7"},{"prefix":"7","evicted":true}]}`)
	f.Add(`{"server":"r","incarnation":1,"first":18446744073709551615,"events":[{"prefix":"7"}]}`)
	f.Add(`{"server":"","incarnation":0}`)
	f.Add(`{"server":"r","events":[{"prefix":7}]}`)
	f.Fuzz(func(t *testing.T, body string) {
		var got *CacheReport
		status, answer := post(t, CacheHandler(memory.New(memory.DefaultLimit, nil), func(r CacheReport) { got = &r }), body)
		if got == nil {
			checkRefusal(t, status, answer)
			return
		}
		if got.Server == "" || len(got.Server) > 255 || got.Incarnation == 0 || len(got.Events) > 10_000 {
			t.Errorf("accepted a cache report with an invalid field or a list that is too long: %+v", got)
		}
		if last := got.FirstEventNumber + uint64(len(got.Events)); last < got.FirstEventNumber {
			t.Errorf("event numbers overflow from %d", got.FirstEventNumber)
		}
	})
}

// TestAnnouncementFaults guards against errors that name the wrong field, and
// against lists without a limit.
func TestAnnouncementFaults(t *testing.T) {
	valid := membership.Server{Name: "r", Service: "s", Kind: "engine", Address: "127.0.0.1:80", Incarnation: 1}
	for _, test := range []struct {
		field  string
		change func(*membership.Server)
	}{
		{"name", func(s *membership.Server) { s.Name = "" }},
		{"kind", func(s *membership.Server) { s.Kind = "host" }},
		{"address", func(s *membership.Server) { s.Address = "[::ffff:127.0.0.1]:80" }},
		{"address", func(s *membership.Server) { s.Address = "0.0.0.0:80" }},
		{"address", func(s *membership.Server) { s.Address = "127.0.0.1:0" }},
		{"sequence", func(s *membership.Server) { s.Sequence = math.MaxUint64 }},
		{"software_version", func(s *membership.Server) { s.SoftwareVersion = strings.Repeat("v", 256) }},
		{"models", func(s *membership.Server) { s.Models = make([]membership.ModelReport, 10_001) }},
		{"cached", func(s *membership.Server) { s.Cached = make([]membership.Checkpoint, 10_001) }},
		{"models[0].phase", func(s *membership.Server) { s.Models = []membership.ModelReport{{Model: "m"}} }},
		{"load", func(s *membership.Server) { s.Load.KVUsedMiB = -1 }},
	} {
		s := valid
		test.change(&s)
		if err := checkAnnouncement(s); err == nil || err.Field != test.field {
			t.Errorf("fault in %s: error %v", test.field, err)
		}
	}
	if err := checkAnnouncement(valid); err != nil {
		t.Error(err)
	}
}
