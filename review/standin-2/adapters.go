package main

import (
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"
)

// slots is AdapterSlots of the configuration.
const slots = 8

// adapterSlots sends requests for more adapters than the runners have places for.
func adapterSlots(t *trial) (bool, error) {
	runners, err := t.startEngines(2)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	loads, over := 0, 0
	for _, r := range runners {
		r.pace = 100 * time.Millisecond
		r.onAdapterLoad = func(p *process, name string, held map[string]*adapter) bool {
			mu.Lock()
			defer mu.Unlock()
			loads++
			if len(held) < slots {
				return false
			}
			over++
			var busy []string
			for n, a := range held {
				if a.unloading {
					busy = append(busy, fmt.Sprintf("%s:%d_runs", n, a.runs))
				}
			}
			t.rec.add("over-slots", "runner", p.id, "load", name, "held", len(held), "unloading", strings.Join(busy, ","))
			return true
		}
	}
	// Without the trouble, the clients ask for no more adapters than one runner has places for.
	adapters := slots
	if t.trouble {
		adapters = 3 * slots
	}
	stop := make(chan struct{})
	var served tally
	t.clients.every(100*time.Millisecond, stop, func(i int) {
		q := stream("sound", i, prompt("a0000001", fmt.Sprintf("b0%06x", i)))
		q.model = fmt.Sprintf("%s/a%d", model, 1+rand.Intn(adapters))
		served.add(t.clients.send(q))
	})
	time.Sleep(40 * time.Second)
	close(stop)
	t.clients.wg.Wait()
	t.say("%d adapter loads ordered, %d of them beyond the %d slots; requests that began: %d of %d", loads, over, slots, served.begun, served.sent)
	return over > 0, nil
}
