package main

import (
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/documents"
	"github.com/pollenwheel/pollenwheel/node/settings"
)

const examplesFolder = "../../examples"

func globExamples(t *testing.T, pattern ...string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(append([]string{examplesFolder}, pattern...)...))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no files match %v: error %v", pattern, err)
	}
	return paths
}

// TestExamplesAreReproduced guards against a code change that alters the generated
// example configurations, and against configurations that do not match their
// questionnaires. Run with -update to regenerate them.
func TestExamplesAreReproduced(t *testing.T) {
	for name, size := range map[string]struct{ models, adapters int }{"brazos-valley": {31, 55}, "thies": {20, 55}} {
		t.Run(name, func(t *testing.T) {
			folder := filepath.Join(examplesFolder, name)
			c, err := generate(filepath.Join(folder, "decisions.ini"), globExamples(t, name, "questionnaires", "*.ini"))
			if err != nil {
				t.Fatal(err)
			}
			if len(c.Models) != size.models || len(c.Adapters) != size.adapters || c.Deployment.Name != name {
				t.Errorf("%s: %d models, %d adapters", c.Deployment.Name, len(c.Models), len(c.Adapters))
			}
			goldie.New(t, goldie.WithFixtureDir(folder), goldie.WithNameSuffix(".ini")).
				Assert(t, "configuration", documents.FormatConfiguration(c))
			parsed, err := readFile(filepath.Join(folder, "configuration.ini"), documents.ParseConfiguration)
			if err != nil || !reflect.DeepEqual(parsed, c) || config.RequireOperator(parsed) != nil {
				t.Errorf("the written configuration differs after parsing: %v", err)
			}
		})
	}
}

// TestExampleSettings guards against example settings of hosts that contradict each
// other.
func TestExampleSettings(t *testing.T) {
	for name, count := range map[string]int{"brazos-valley": 8, "thies": 7} {
		t.Run(name, func(t *testing.T) {
			var all []settings.Settings
			for _, path := range globExamples(t, name, "settings", "*.ini") {
				s, err := settings.Load(path)
				if err != nil {
					t.Fatal(err)
				}
				all = append(all, s)
			}
			centres, voterCentres, control := map[string]bool{}, map[string]bool{}, 0
			for _, s := range all {
				centres[s.DataCentre] = true
				if s.Control {
					control++
				}
				if slices.Contains(s.Voters, settings.Peer{Name: s.Host, Address: s.PeerAddress}) {
					voterCentres[s.DataCentre] = true
				}
				if len(s.Peers) != count-1 || len(s.Voters) != 3 || !reflect.DeepEqual(s.Voters, all[0].Voters) {
					t.Errorf("%s has %d peers and the voters %v", s.Host, len(s.Peers), s.Voters)
				}
			}
			if len(all) != count || control != 4 || len(centres) != 3 || len(voterCentres) != 3 {
				t.Errorf("%d hosts, %d control hosts, %d data centres, voters in %d", len(all), control, len(centres), len(voterCentres))
			}
		})
	}
}
