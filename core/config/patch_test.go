package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/pollenwheel/pollenwheel/core/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Options{Checks: 100}) }

func drawConfiguration(t *rapid.T, label string) Configuration {
	c := Configuration{Deployment: Deployment{Name: rapid.SampledFrom([]string{"x", "y"}).Draw(t, label+"deployment")}}
	for i := range 4 {
		name := fmt.Sprintf("%d", i)
		size := rapid.Int64Range(0, 2).Draw(t, label+"size")
		if size > 0 {
			c.Services = append(c.Services, Service{Name: name, Kind: KindEngine})
			c.Models = append(c.Models, Model{Name: name, Service: name, MemoryMiB: size})
			c.Objectives = append(c.Objectives, Objective{Service: name, Kind: ObjectiveAvailability, Target: float64(size)})
		}
		if size > 1 {
			c.Adapters = append(c.Adapters, Adapter{Name: name, Model: name, MemoryMiB: size})
			c.Callers = append(c.Callers, Caller{Name: name, Role: RoleCaller})
		}
	}
	return c.Sorted()
}

// TestPatchRestoresNext guards against a patch whose result lacks an item, keeps a
// removed one or has another order, also after the patch is encoded as JSON and
// decoded.
func TestPatchRestoresNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawConfiguration(t, "old "), drawConfiguration(t, "next ")
		data, err := json.Marshal(MakePatch(old, next))
		if err != nil {
			t.Fatal(err)
		}
		var p Patch
		if err := json.Unmarshal(data, &p); err != nil {
			t.Fatal(err)
		}
		got := p.Apply(old)
		a, _ := json.Marshal(got)
		b, _ := json.Marshal(next)
		if string(a) != string(b) {
			t.Fatalf("patch %s\nresult %s\nwant   %s", data, a, b)
		}
		if reflect.DeepEqual(old, next) && string(data) != "{}" {
			t.Fatalf("patch between equal configurations is not empty: %s", data)
		}
	})
}
