package forward

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/core/state"
)

const seconds = time.Second

// TestStreamsKeepTheirSoftwareVersion guards against streams that are continued by a server
// of another software version than the one that began them.
func TestStreamsKeepTheirSoftwareVersion(t *testing.T) {
	for _, c := range []struct {
		name string
		opts versionWorldOptions
	}{
		{"servers crash", versionWorldOptions{crashes: []time.Duration{8 * seconds, 11 * seconds, 14 * seconds}, crashShare: 0.3}},
		{"connections of callers are reset", versionWorldOptions{resets: []time.Duration{8 * seconds, 10 * seconds, 12 * seconds}}},
		{"hosts are killed", versionWorldOptions{hostKills: []time.Duration{8 * seconds, 12 * seconds}, killShare: 0.4, hostRestart: seconds}},
		{"all hosts are killed while two versions serve", versionWorldOptions{hostKills: []time.Duration{9 * seconds}, killShare: 1, hostRestart: seconds / 2}},
		{"all hosts are killed when the old version has left", versionWorldOptions{
			hostKills: []time.Duration{5 * seconds}, killShare: 1, hostRestart: seconds / 2, releaseShare: 1, releaseGap: 100 * time.Millisecond, drain: seconds / 2,
		}},
		{"all at once", versionWorldOptions{
			hostKills: []time.Duration{5 * seconds, 9050 * time.Millisecond}, killShare: 0.4, hostRestart: seconds,
			crashes: []time.Duration{4500 * time.Millisecond, 9 * seconds, 14 * seconds}, crashShare: 0.3, resets: []time.Duration{6 * seconds, 14050 * time.Millisecond},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					o := c.opts
					o.seed, o.hosts, o.servers, o.perSecond, o.duration, o.releaseAt = seed, 8, 8, 60, 18*seconds, 4*seconds
					if o.releaseShare == 0 {
						o.releaseShare, o.releaseGap = 0.5, 400*time.Millisecond
					}
					got := runVersionWorld(t, o).counts()
					t.Logf("seed %d: %+v", seed, got)
					if got.mixed > 0 {
						t.Errorf("seed %d: %d of %d streams hold events of two software versions", seed, got.mixed, got.begun)
					}
					if callersResume := len(o.resets)+len(o.hostKills) > 0; callersResume && got.resumed < 12 {
						t.Errorf("seed %d: %d streams were resumed by callers, too few to show anything", seed, got.resumed)
					}
					// The streams of a version that has left cannot go on.
					if served := o.releaseShare < 1; served && got.continued*2 < got.resumed {
						t.Errorf("seed %d: %d of %d streams went on that callers resumed, want half or more", seed, got.continued, got.resumed)
					}
				})
			}
		})
	}
}

// TestCutStreamIsContinuedBySameVersion guards against a host that continues a stream, after
// its server broke off, at a server of another software version.
func TestCutStreamIsContinuedBySameVersion(t *testing.T) {
	for _, versions := range [][]string{{"v1", "v2", "v2", "v2"}, {"v1", "v1", "v2", "v2"}} {
		t.Run(fmt.Sprint(versions), func(t *testing.T) {
			same, mixed := 0, 0
			for range 20 {
				first, second := playCutStream(t, versions)
				if second == "" {
					continue
				}
				if first == second {
					same++
				} else {
					mixed++
				}
			}
			if mixed > 0 {
				t.Errorf("%d streams were continued by another version, %d by the same", mixed, same)
			}
		})
	}
}

// playCutStream has servers with the given software versions break off a stream after its
// first event. It returns the versions of the servers that wrote its first and its second
// event, empty if there is no second one.
func playCutStream(t *testing.T, versions []string) (first, second string) {
	t.Helper()
	scripts := make([][]http.HandlerFunc, len(versions))
	for i, v := range versions {
		scripts[i] = []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("T-Signed", "yes")
			w.Header().Set("Content-Type", "text/event-stream")
			if r.Header.Get("T-After") != "" {
				_, _ = io.WriteString(w, "id: 2\ndata: "+v+"\n\n")
				return
			}
			_, _ = io.WriteString(w, "id: 1\ndata: "+v+"\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}}
	}
	url, forwarder, _ := startForwarder(t, scripts...)
	nameVersions(forwarder, versions)
	_, body, _ := post(t, url, "/resumable/", "")
	for _, event := range strings.Split(body, "\n\n") {
		if _, v, ok := strings.Cut(event, "id: 1\ndata: "); ok {
			first = v
		}
		if _, v, ok := strings.Cut(event, "id: 2\ndata: "); ok {
			second = v
		}
	}
	return first, second
}

// nameVersions makes the servers of a forwarder announce software versions.
func nameVersions(f *Forwarder, versions []string) {
	servers := f.opts.Servers()
	for i, v := range versions {
		servers[i].SoftwareVersion = v
	}
	f.opts.Servers = func() []membership.ServerStatus { return slices.Clone(servers) }
	for i, v := range slices.Compact(slices.Sorted(slices.Values(versions))) {
		f.opts.Replica.Apply(uint64(2+i), state.Command{SetSoftwareVersion: &state.SetSoftwareVersion{Service: "plain", Version: v}})
	}
	f.Refresh()
}

// TestResumedStreamGoesToItsOrigin guards against a stream that is resumed at a service or a software
// version that did not begin it, or that is refused although its origin serves.
func TestResumedStreamGoesToItsOrigin(t *testing.T) {
	for _, c := range []struct {
		name     string
		versions []string
		// known is the origin that the leader knows, if any.
		known        *origin.Origin
		headers      []string
		status, sent int
	}{
		{"its version serves", []string{"v1", "v2"}, &origin.Origin{Service: "plain", Version: "v1"}, []string{"T-After", "1", "T-Resumes", "r1"}, 200, 1},
		{"its version is gone", []string{"v2", "v2"}, &origin.Origin{Service: "plain", Version: "v1"}, []string{"T-After", "1", "T-Resumes", "r1"}, 503, 0},
		{"the route leads to another service", []string{"v1", "v2"}, &origin.Origin{Service: "other", Version: "v1"}, []string{"T-After", "1", "T-Resumes", "r1"}, 503, 0},
		{"nobody knows it, one version", []string{"v1", "v1"}, nil, []string{"T-After", "1", "T-Resumes", "r1"}, 200, 1},
		{"nobody knows it, two versions", []string{"v1", "v2"}, nil, []string{"T-After", "1", "T-Resumes", "r1"}, 503, 0},
		{"the caller does not name it, one version", []string{"v1", "v1"}, nil, []string{"T-After", "1"}, 200, 1},
		{"the caller does not name it, two versions", []string{"v1", "v2"}, &origin.Origin{Service: "plain", Version: "v1"}, []string{"T-After", "1"}, 503, 0},
		{"a new stream", []string{"v1", "v2"}, nil, nil, 200, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			whole := eventStream(2, 3, "", true)
			url, forwarder, backends := startForwarder(t, []http.HandlerFunc{whole}, []http.HandlerFunc{whole})
			nameVersions(forwarder, c.versions)
			if c.known != nil {
				forwarder.origins.Begin(origin.Record{Stream: origin.IDOf("r1"), Origin: *c.known, Expires: time.Hour})
			}
			resp, _, err := post(t, url, "/resumable/", "", c.headers...)
			if sent := backends[0].requestCount() + backends[1].requestCount(); err != nil || resp.status != c.status || sent != c.sent {
				t.Errorf("status %d, sent %d times, error %v; want %d and %d", resp.status, sent, err, c.status, c.sent)
			}
			if resp.status == http.StatusServiceUnavailable && resp.header.Get("Retry-After") == "" {
				t.Error("the refusal has no Retry-After header")
			}
			if backends[1].requestCount() > 0 && c.known != nil {
				t.Error("the stream went on at the server of another version")
			}
		})
	}
}
