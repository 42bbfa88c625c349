package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/node/settings"
)

// Doors of the product's own interface, all at the same address.
var (
	doorCompletion  = crowdDoor{"completions", "POST", "/v1/chat/completions", 0, []string{"Authorization: Bearer " + callerKey}}
	doorOwnUnknown  = crowdDoor{"an unknown path", "POST", "/nowhere", 0, nil}
	doorOwnReady    = crowdDoor{"readiness", "GET", "/readyz", 0, nil}
	doorOwnAnnounce = crowdDoor{"announcements", "POST", "/v1/backend/announce", 0, nil}
)

// conversations is a crowd that only the product's own interface can be sent.
var conversations = crowd{"conversations of many empty messages", 100, []crowdDoor{doorCompletion}, readsAnswers, func(m *crowdMember) {
	body := `{"model":"model-0","messages":[` + strings.Repeat("{},", crowdBodyBytes/3-20) + `{}]}`
	m.send([]byte(m.door.head(m.id, lengthField(len(body))) + "\r\n" + body))
},
}

// ownDoors returns where a crowd of TestCrowds comes on the product's own interface.
func ownDoors(c crowd) []crowdDoor {
	var out []crowdDoor
	for _, d := range c.doors {
		switch d.name {
		case doorRoute.name:
			out = append(out, doorCompletion)
		case doorNoRoute.name:
			out = append(out, doorOwnUnknown)
		case doorReady.name:
			out = append(out, doorOwnReady)
		case doorAnnounce.name:
			out = append(out, doorOwnAnnounce)
		}
	}
	return out
}

// TestCrowdsOnOwnInterface guards against the same callers as TestCrowds on the product's own
// interface.
func TestCrowdsOnOwnInterface(t *testing.T) {
	if !*crowdsPlayed {
		t.Skip("runs apart from other load, with -crowds")
	}
	d := newLimitedDeployment(t, controlHosts+1, func(s *settings.Settings) {
		s.MemoryMiB, s.MaxDescriptors = crowdControlMemoryMB, crowdMaxFds-crowdReservedFds
		if !s.Control {
			s.MemoryMiB = crowdEntryMemoryMB
		}
	})
	for _, p := range d.processes {
		d.awaitReady(p)
	}
	d.apply(1, d.processes[0])
	d.startEngines(t.Context(), 1)
	entry := d.processes[controlHosts]
	d.await("a request is served", func() bool { return d.sendStream(t.Context(), entry, "model-0", 1) == nil })
	d.client.Timeout = crowdPatience
	play := func(one crowd, door crowdDoor) {
		t.Run(one.name+" at "+door.name, func(t *testing.T) {
			r := &crowdRun{t: t, address: entry.settings.CallerAddress, door: door, crowd: one, refused: map[string]int{}}
			r.check(entry.cmd.Process.Pid, crowdEntryMemoryMB, func() {
				for try := 0; ; try++ {
					status, data, err := d.requestStream(t.Context(), entry, "model-0", 1)
					if err == nil && status == http.StatusOK && checkStream(status, data, 1) == nil {
						return
					}
					if try == crowdTries {
						t.Errorf("an ordinary request was not answered in %d tries, last status %d, error %v", try, status, err)
						return
					}
					time.Sleep(crowdPause)
				}
			})
			if n := entry.starts.Load(); n != 1 || len(entry.exited) > 0 {
				t.Fatal("the process has ended")
			}
		})
	}
	for _, one := range crowds {
		for _, door := range ownDoors(one) {
			play(one, door)
		}
	}
	play(conversations, doorCompletion)
}
