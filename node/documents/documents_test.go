package documents

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/inifile"
)

const keyA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

const questionnaireText = `[team]
name = reading-room
urgency = patient

[model atlas]
service = scribe-desk
version = 2025-11
memory_mib = 14000
kv_mib = 4000
wanted_replicas = 2
queue_limit = 40

[adapter atlas-letters]
model = atlas
version = 3
memory_mib = 90

[caller reading-room-web]
key_sha256 = ` + keyA + `

[objective scribe-desk/first_token]
target = 0.95
threshold_ms = 4000
`

const configurationText = `[configuration]
version = 3

[deployment thies]
idle_hour_weight = 2.5
store_loads_per_second = 3

[service scribe-desk]
kind = engine

[model atlas]
service = scribe-desk
version = 1
memory_mib = 14000
max_replicas = 2

[caller ops]
team = operators
role = operator
key_sha256 = ` + keyA + `

[objective scribe-desk/cold_start]
target = 0.9
threshold_ms = 30000
`

const decisionsText = `[deployment thies]
idle_hour_weight = 2.5

[service scribe-desk]
kind = engine
max_replicas = 2
queue_limit = 60

[limit atlas]
max_replicas = 3
pinned_replicas = 1

[operator ops]
key_sha256 = ` + keyA + `

[team reading-room]
weight = 2

[objective scribe-desk/availability]
target = 0.999
`

// TestFormatIsInverseOfParse guards against values that are lost or changed when
// a document is read and written.
func TestFormatIsInverseOfParse(t *testing.T) {
	q, err := ParseQuestionnaire("q.ini", []byte(questionnaireText))
	if err != nil || string(FormatQuestionnaire(q)) != questionnaireText {
		t.Errorf("questionnaire: %v\n%s", err, FormatQuestionnaire(q))
	}
	c, err := ParseConfiguration("c.ini", []byte(configurationText))
	if err != nil || string(FormatConfiguration(c)) != configurationText {
		t.Errorf("configuration: %v\n%s", err, FormatConfiguration(c))
	}
	d, err := ParseDecisions("d.ini", []byte(decisionsText))
	if err != nil || string(FormatDecisions(d)) != decisionsText {
		t.Errorf("decisions: %v\n%s", err, FormatDecisions(d))
	}
}

// TestParseRefuses guards against misspelt or malformed entries that are ignored
// instead of being refused.
func TestParseRefuses(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown section":      {"[model atlas]", "[mdl atlas]", "[mdl atlas]: must be one of the sections"},
		"unknown key":          {"kv_mib", "kv_mb", "kv_mb = \"4000\": must be one of the keys"},
		"model without name":   {"[model atlas]", "[model]", "[model]: must be named"},
		"model twice":          {"[adapter atlas-letters]", "[model atlas]", "[model atlas]: must be given once"},
		"text after a header":  {"[model atlas]", "[model atlas] two", "line 5 is not a section header"},
		"number with a unit":   {"14000", "14000 MiB", "must be a whole number from 1"},
		"quoted name":          {"name = reading-room", "name = \"a\"b\"", "without quotes"},
		"unknown objective":    {"/first_token", "/speed", "first_token, cold_start"},
		"target above 1":       {"0.95", "95", "a number from 0 to 1"},
		"key in clear text":    {keyA, "secret", "the SHA-256 of the key"},
		"missing version":      {"version = 2025-11\n", "", "version = \"\": must be set to"},
		"no team":              {"[team]\nname = reading-room\nurgency = patient\n", "", "[team]: must be given"},
		"line without a value": {"[team]", "[team]\nurgent", "an INI file"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(questionnaireText, c.old, c.new, 1)
			_, err := ParseQuestionnaire("q.ini", []byte(text))
			var e *inifile.Error
			if !errors.As(err, &e) || !strings.Contains(err.Error(), c.want) || e.File != "q.ini" {
				t.Errorf("error %v, want one that contains %q", err, c.want)
			}
		})
	}
	_, err := ParseConfiguration("c.ini", []byte(strings.Replace(configurationText, "[service", "[deployment two]\n[service", 1)))
	if err == nil {
		t.Error("two deployment sections accepted")
	}
}

// requireClearError fails the test unless the error names the fault and the allowed
// values.
func requireClearError(t *testing.T, err error) {
	var entryErr *inifile.Error
	var fileErr *ValidationError
	switch {
	case errors.As(err, &entryErr):
		if entryErr.File == "" || entryErr.Allowed == "" {
			t.Fatalf("error without a place or the allowed values: %v", err)
		}
	case errors.As(err, &fileErr):
		for _, fault := range fileErr.Faults {
			if fault.Path == "" || fault.Allowed == "" {
				t.Fatalf("error without a place or the allowed values: %v", err)
			}
		}
	default:
		t.Fatalf("error of unexpected type %T: %v", err, err)
	}
}

// fuzzDocument checks that a document that was read can be written and read again
// without a change.
func fuzzDocument[T any](f *testing.F, parse func(string, []byte) (T, error), format func(T) []byte) {
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := parse("fuzz.ini", data)
		if err != nil {
			requireClearError(t, err)
			return
		}
		written := format(first)
		second, err := parse("written.ini", written)
		if err != nil {
			t.Fatalf("written document refused: %v\n%s", err, written)
		}
		if !reflect.DeepEqual(first, second) {
			t.Fatalf("document changed by writing and reading:\n%+v\n%+v", first, second)
		}
	})
}

// FuzzQuestionnaire guards against panics, unclear errors, and documents that
// change when they are written and read again.
func FuzzQuestionnaire(f *testing.F) {
	f.Add([]byte(questionnaireText))
	fuzzDocument[config.Questionnaire](f, ParseQuestionnaire, FormatQuestionnaire)
}

// FuzzConfiguration guards against the same failures as FuzzQuestionnaire.
func FuzzConfiguration(f *testing.F) {
	f.Add([]byte(configurationText))
	fuzzDocument[config.Configuration](f, ParseConfiguration, FormatConfiguration)
}

// FuzzDecisions guards against the same failures as FuzzQuestionnaire.
func FuzzDecisions(f *testing.F) {
	f.Add([]byte(decisionsText))
	fuzzDocument[config.Decisions](f, ParseDecisions, FormatDecisions)
}
