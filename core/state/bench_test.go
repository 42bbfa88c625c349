package state

import (
	"fmt"
	"testing"

	"github.com/pollenwheel/pollenwheel/core/config"
)

// targetConfiguration has the models and adapters of the target size.
func targetConfiguration() config.Configuration {
	c := config.Configuration{Services: []config.Service{{Name: "s", Kind: config.KindEngine}}}
	for i := range 240 {
		c.Models = append(c.Models, config.Model{Name: fmt.Sprintf("model-%03d", i), Service: "s", Version: "1", MemoryMiB: 16_000, KVMiB: 4_000, MaxReplicas: 4, QueueLimit: 200})
	}
	for i := range 63_000 {
		c.Adapters = append(c.Adapters, config.Adapter{Name: fmt.Sprintf("adapter-%05d", i), Model: c.Models[i%240].Name, Version: "1", MemoryMiB: 200})
	}
	return c.Sorted()
}

// BenchmarkChange makes, encodes, decodes and applies a change of one model at
// the target size, and reports the bytes of its log entry.
func BenchmarkChange(b *testing.B) {
	full := targetConfiguration()
	for _, patch := range []bool{false, true} {
		b.Run(fmt.Sprintf("patch=%v", patch), func(b *testing.B) {
			s := New()
			s.Apply(1, Command{Configure: &Configure{ChangeID: "first", Next: full}})
			size := 0
			for i := range b.N {
				next := s.Config
				next.Models = append([]config.Model(nil), next.Models...)
				next.Models[i%240].MaxReplicas++
				c := NewConfigure(fmt.Sprint(i), s.Config.Version, s.Config, next)
				if !patch {
					c.Patch, c.Next = nil, next
				}
				data, err := EncodeCommand(Command{Configure: &c})
				if err != nil {
					b.Fatal(err)
				}
				decoded, err := DecodeCommand(data)
				if err != nil {
					b.Fatal(err)
				}
				if r := s.Apply(s.Index+1, decoded); r.Rejection != nil {
					b.Fatal(r.Rejection)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/entry")
		})
	}
}

// BenchmarkSnapshot encodes the state at the target size.
func BenchmarkSnapshot(b *testing.B) {
	s := New()
	s.Apply(1, Command{Configure: &Configure{ChangeID: "first", Next: targetConfiguration()}})
	size := 0
	for b.Loop() {
		data, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes/snapshot")
}
