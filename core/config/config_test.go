package config

import (
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"
)

func keyHash(digit string) string { return strings.Repeat(digit, 64) }

func validConfiguration() Configuration {
	return Configuration{
		Deployment: Deployment{Name: "thies"},
		Services:   []Service{{"scribe", KindEngine}, {"orders", KindPlain}},
		Models: []Model{{
			Name: "atlas", Service: "scribe", Version: "1", MemoryMiB: 100, MaxReplicas: 2, PinnedReplicas: 1,
		}},
		Adapters:   []Adapter{{"atlas-letters", "atlas", "1", 10}},
		Callers:    []Caller{{"desk", "desk", RoleCaller, keyHash("a"), 0}, {"ops", "operators", RoleOperator, keyHash("b"), 0}},
		Objectives: []Objective{{"scribe", ObjectiveFirstToken, 0.9, 100}, {"orders", ObjectiveAvailability, 0.99, 0}},
	}
}

// TestValidate guards against an invalid configuration that is accepted, and against
// an error with the wrong path.
func TestValidate(t *testing.T) {
	if err := Validate(validConfiguration()); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		change func(*Configuration)
		path   string
	}{
		"no deployment name":          {func(c *Configuration) { c.Deployment.Name = "" }, "deployment.name"},
		"negative rate":               {func(c *Configuration) { c.Deployment.StoreLoadsPerSecond = -1 }, "deployment.store_loads_per_second"},
		"duplicate service":           {func(c *Configuration) { c.Services[1].Name = "scribe" }, "services[scribe].name"},
		"unknown kind":                {func(c *Configuration) { c.Services[0].Kind = "other" }, "services[scribe].kind"},
		"model of a plain service":    {func(c *Configuration) { c.Models[0].Service = "orders" }, "models[atlas].service"},
		"model without memory":        {func(c *Configuration) { c.Models[0].MemoryMiB = 0 }, "models[atlas].memory_mib"},
		"more pinned than allowed":    {func(c *Configuration) { c.Models[0].PinnedReplicas = 3 }, "models[atlas].pinned_replicas"},
		"negative limit":              {func(c *Configuration) { c.Models[0].MaxReplicas = -1 }, "models[atlas].max_replicas"},
		"unknown urgency":             {func(c *Configuration) { c.Models[0].Urgency = "soon" }, "models[atlas].urgency"},
		"adapter named like a model":  {func(c *Configuration) { c.Adapters[0].Name = "atlas" }, "adapters[atlas].name"},
		"adapter of no model":         {func(c *Configuration) { c.Adapters[0].Model = "none" }, "adapters[atlas-letters].model"},
		"caller without team":         {func(c *Configuration) { c.Callers[0].Team = "" }, "callers[desk].team"},
		"key in clear text":           {func(c *Configuration) { c.Callers[0].KeySHA256 = "secret" }, "callers[desk].key_sha256"},
		"two callers with one key":    {func(c *Configuration) { c.Callers[1].KeySHA256 = keyHash("a") }, "callers[ops].key_sha256"},
		"unknown role":                {func(c *Configuration) { c.Callers[0].Role = "root" }, "callers[desk].role"},
		"duplicate objective":         {func(c *Configuration) { c.Objectives[1] = c.Objectives[0] }, "objectives[scribe/first_token]"},
		"target that allows no error": {func(c *Configuration) { c.Objectives[0].Target = 1 }, "objectives[scribe/first_token].target"},
		"latency without threshold":   {func(c *Configuration) { c.Objectives[0].ThresholdMS = 0 }, "objectives[scribe/first_token].threshold_ms"},
		"first token of plain service": {
			func(c *Configuration) { c.Objectives[0].Service = "orders" }, "objectives[orders/first_token].kind",
		},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := validConfiguration()
			c.change(&cfg)
			var errs Errors
			if !errors.As(Validate(cfg), &errs) {
				t.Fatal("invalid configuration is accepted")
			}
			if !slices.ContainsFunc(errs, func(e *Error) bool { return e.Path == c.path && e.Allowed != "" }) {
				t.Errorf("no error with path %s and the allowed values: %v", c.path, errs)
			}
		})
	}
}

// TestDiff guards against changes that are missing from the difference that operators
// see before they apply a configuration.
func TestDiff(t *testing.T) {
	a, b := validConfiguration(), validConfiguration()
	b.Version = 7
	slices.Reverse(b.Models)
	if d := Diff(a, b); d != nil {
		t.Errorf("configurations that differ only in version and order have the changes %v", d)
	}
	b.Models[0].MaxReplicas = 5
	b.Adapters = nil
	b.Deployment.IdleHourWeight = 1.5
	want := []string{
		"- adapters[atlas-letters].memory_mib = 10",
		"- adapters[atlas-letters].model = atlas",
		"- adapters[atlas-letters].name = atlas-letters",
		"- adapters[atlas-letters].version = 1",
		"+ deployment.idle_hour_weight = 1.5",
		"~ models[atlas].max_replicas = 5 (was 2)",
	}
	var got []string
	for _, c := range Diff(a, b) {
		got = append(got, c.String())
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("wrong changes between the two configurations: %q", got)
	}
}

func decisions() Decisions {
	return Decisions{
		Deployment: Deployment{Name: "thies"},
		Services:   []ServiceDecision{{Service{"scribe", KindEngine}, 2, 50}},
		Limits:     []Limit{{"atlas", 4, 1}},
		Operators:  []CallerAnswer{{"ops", keyHash("b")}},
		Teams:      []TeamDecision{{"desk", 3}},
		Objectives: []Objective{{"scribe", ObjectiveFirstToken, 0.9, 100}},
	}
}

func questionnaires() []Questionnaire {
	return []Questionnaire{
		{
			Team: "desk", Urgency: UrgencyPatient,
			Models: []ModelAnswer{
				{Name: "atlas", Service: "scribe", Version: "1", MemoryMiB: 9, WantedReplicas: 9, QueueLimit: 80},
				{Name: "ledger", Service: "scribe", Version: "1", MemoryMiB: 9, WantedReplicas: 1, Urgency: UrgencyStandard},
			},
			Callers:    []CallerAnswer{{"desk", keyHash("a")}},
			Objectives: []Objective{{"scribe", ObjectiveFirstToken, 0.8, 50}},
		},
		{Team: "archive", Adapters: []Adapter{{"atlas-letters", "atlas", "1", 10}}},
	}
}

// TestGenerate guards against limits for a team that exceed those of the operators,
// and against a result that depends on the order of the questionnaires.
func TestGenerate(t *testing.T) {
	c, err := Generate(decisions(), questionnaires())
	if err != nil {
		t.Fatal(err)
	}
	want := Configuration{
		Deployment: Deployment{Name: "thies"},
		Services:   []Service{{"scribe", KindEngine}},
		Models: []Model{
			{Name: "atlas", Service: "scribe", Version: "1", MemoryMiB: 9, MaxReplicas: 4, PinnedReplicas: 1, QueueLimit: 50, Urgency: UrgencyPatient},
			{Name: "ledger", Service: "scribe", Version: "1", MemoryMiB: 9, MaxReplicas: 1, QueueLimit: 50, Urgency: UrgencyStandard},
		},
		Adapters: []Adapter{{"atlas-letters", "atlas", "1", 10}},
		Callers: []Caller{
			{"desk", "desk", RoleCaller, keyHash("a"), 3}, {"ops", "operators", RoleOperator, keyHash("b"), 0},
		},
		Objectives: []Objective{{"scribe", ObjectiveFirstToken, 0.9, 50}},
	}
	if !reflect.DeepEqual(c, want) {
		t.Errorf("generated configuration %+v\nwant %+v", c, want)
	}
	reversed := questionnaires()
	slices.Reverse(reversed)
	if again, err := Generate(decisions(), reversed); err != nil || !reflect.DeepEqual(again, c) {
		t.Errorf("the result depends on the order of the questionnaires: %+v, %v", again, err)
	}
}

func TestGenerateRejectsInvalidInput(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Decisions, []Questionnaire) []Questionnaire
		path   string
	}{
		"two questionnaires of a team": {func(_ *Decisions, q []Questionnaire) []Questionnaire { return append(q, q[1]) }, "teams[archive]"},
		"limit of an unknown model": {func(d *Decisions, q []Questionnaire) []Questionnaire {
			d.Limits[0].Model = "atals"
			return q
		}, "limits[atals]"},
		"weight of an unknown team": {func(d *Decisions, q []Questionnaire) []Questionnaire {
			d.Teams[0].Name = "dsek"
			return q
		}, "teams[dsek]"},
		"no operator": {func(d *Decisions, q []Questionnaire) []Questionnaire {
			d.Operators = nil
			return q
		}, "callers"},
	} {
		t.Run(name, func(t *testing.T) {
			d := decisions()
			q := c.change(&d, questionnaires())
			_, err := Generate(d, q)
			var errs Errors
			if !errors.As(err, &errs) || !slices.ContainsFunc(errs, func(e *Error) bool { return e.Path == c.path }) {
				t.Errorf("error %v, want one with path %s", err, c.path)
			}
		})
	}
}
