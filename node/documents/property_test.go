package documents

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Options{Checks: 100}) }

func drawObjective(t *rapid.T, service string) config.Objective {
	o := config.Objective{Service: service, Kind: rapid.SampledFrom(config.ObjectiveKinds).Draw(t, "kind")}
	o.Target = rapid.Float64Range(0.001, 0.999).Draw(t, "target")
	if o.Kind != config.ObjectiveAvailability {
		o.ThresholdMS = rapid.Int64Range(1, 100_000).Draw(t, "threshold")
	}
	return o
}

// keyHash returns a valid key hash that differs for every n.
func keyHash(n int) string { return fmt.Sprintf("%064x", n) }

func drawDecisions(t *rapid.T) config.Decisions {
	d := config.Decisions{
		Deployment: config.Deployment{
			Name: "d", IdleHourWeight: rapid.Float64Range(0, 1e6).Draw(t, "weight"),
			PresumedLostAfterSeconds: rapid.IntRange(0, 10_000).Draw(t, "lost"),
		},
		Operators: []config.CallerAnswer{{Name: "ops", KeySHA256: keyHash(0)}},
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "services") {
		d.Services = append(d.Services, config.ServiceDecision{
			Service:     config.Service{Name: fmt.Sprint("s", i), Kind: config.KindEngine},
			MaxReplicas: rapid.IntRange(0, 5).Draw(t, "max"), QueueLimit: rapid.IntRange(0, 50).Draw(t, "queue"),
		})
		if rapid.Bool().Draw(t, "objective") {
			d.Objectives = append(d.Objectives, drawObjective(t, fmt.Sprint("s", i)))
		}
	}
	return d
}

// drawQuestionnaire draws the answers of a team, and adds limits for some of its
// models to d.
func drawQuestionnaire(t *rapid.T, d *config.Decisions, team int) config.Questionnaire {
	urgency := rapid.SampledFrom([]config.Urgency{"", config.UrgencyInteractive, config.UrgencyStandard, config.UrgencyPatient})
	q := config.Questionnaire{Team: fmt.Sprint("t", team), Urgency: urgency.Draw(t, "urgency")}
	for i := range rapid.IntRange(0, 4).Draw(t, "models") {
		m := config.ModelAnswer{
			Name: fmt.Sprintf("m%d-%d", team, i), Service: rapid.SampledFrom(d.Services).Draw(t, "service").Name, Version: "1",
			MemoryMiB: rapid.Int64Range(1, config.MaxMemoryMiB).Draw(t, "memory"), Urgency: urgency.Draw(t, "model urgency"),
			WantedReplicas: rapid.IntRange(0, 9).Draw(t, "wanted"), QueueLimit: rapid.IntRange(0, 90).Draw(t, "queue"),
		}
		q.Models = append(q.Models, m)
		if rapid.Bool().Draw(t, "adapter") {
			q.Adapters = append(q.Adapters, config.Adapter{Name: "a" + m.Name, Model: m.Name, Version: "2", MemoryMiB: 5})
		}
		if rapid.Bool().Draw(t, "limit") {
			limit := rapid.IntRange(0, 5).Draw(t, "limit replicas")
			d.Limits = append(d.Limits, config.Limit{Model: m.Name, MaxReplicas: limit, PinnedReplicas: limit / 2})
		}
		if rapid.Bool().Draw(t, "team objective") && len(q.Objectives) == 0 {
			q.Objectives = append(q.Objectives, drawObjective(t, m.Service))
		}
	}
	q.Callers = append(q.Callers, config.CallerAnswer{Name: fmt.Sprint("c", team), KeySHA256: keyHash(team + 1)})
	return q
}

// roundTrip writes a document, reads it again and requires that it has not changed.
func roundTrip[T any](t *rapid.T, document T, format func(T) []byte, parse func(string, []byte) (T, error)) T {
	got, err := parse("written.ini", format(document))
	if err != nil || !reflect.DeepEqual(got, document) {
		t.Fatalf("document changed by writing and reading: error %v\nread %+v\nwant %+v", err, got, document)
	}
	return got
}

// TestGenerateFromFiles guards against valid answers that are refused or changed
// by writing and reading, and against configurations with more replicas, longer
// queues or weaker objectives than the operators and teams decided.
func TestGenerateFromFiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDecisions(t)
		var teams []config.Questionnaire
		for i := range rapid.IntRange(0, 4).Draw(t, "teams") {
			teams = append(teams, roundTrip(t, drawQuestionnaire(t, &d, i), FormatQuestionnaire, ParseQuestionnaire))
		}
		c, err := config.Generate(roundTrip(t, d, FormatDecisions, ParseDecisions), teams)
		if err != nil {
			t.Fatal(err)
		}
		if diff := config.Diff(c, roundTrip(t, c, FormatConfiguration, ParseConfiguration)); diff != nil {
			t.Fatalf("configuration changed by writing and reading: %v", diff)
		}
		checkLimits(t, d, c)
		for _, o := range d.Objectives {
			checkObjective(t, o, c)
		}
		for _, q := range teams {
			for _, o := range q.Objectives {
				checkObjective(t, o, c)
			}
		}
	})
}

// checkLimits requires that no model exceeds the limits in the decisions.
func checkLimits(t *rapid.T, d config.Decisions, c config.Configuration) {
	for _, m := range c.Models {
		service := d.Services[strings.Index("012", m.Service[1:])]
		limit := service.MaxReplicas
		if limit == 0 {
			// drawQuestionnaire requests at most 9 replicas.
			limit = 9
		}
		for _, l := range d.Limits {
			if l.Model == m.Name {
				limit = l.MaxReplicas
			}
		}
		if m.MaxReplicas > limit || service.QueueLimit > 0 && (m.QueueLimit > service.QueueLimit || m.QueueLimit == 0) {
			t.Fatalf("%+v exceeds the decisions %+v", m, d)
		}
	}
}

// checkObjective requires that the configuration has an objective at least as strict
// as the requested one.
func checkObjective(t *rapid.T, requested config.Objective, c config.Configuration) {
	for _, o := range c.Objectives {
		if o.ID() == requested.ID() && o.Target >= requested.Target && o.ThresholdMS <= requested.ThresholdMS {
			return
		}
	}
	t.Fatalf("no objective is as strict as %+v: %+v", requested, c.Objectives)
}
