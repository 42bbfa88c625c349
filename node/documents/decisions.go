package documents

import (
	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/inifile"
)

// ParseDecisions reads the decisions of operators. It does not check references to
// other files; config.Generate does. Path is used only in errors, which are of type
// *inifile.Error.
func ParseDecisions(path string, data []byte) (config.Decisions, error) {
	var d config.Decisions
	f, err := inifile.Parse(path, data)
	if err != nil {
		return d, err
	}
	for _, s := range f.Sections {
		if err := parseDecisionsSection(&d, s); err != nil {
			return config.Decisions{}, err
		}
	}
	if d.Deployment.Name == "" {
		return config.Decisions{}, &inifile.Error{File: path, Section: "deployment", Allowed: "given with a name"}
	}
	return d, nil
}

// parseDecisionsSection adds a section of the decisions to d.
func parseDecisionsSection(d *config.Decisions, s inifile.Section) error {
	switch s.Kind {
	case "deployment":
		if d.Deployment.Name != "" {
			return s.NewError("", "", "the only deployment")
		}
		d.Deployment.Name = s.Name
		return decodeNamed(s, deploymentFields(&d.Deployment)...)
	case "service":
		d.Services = append(d.Services, config.ServiceDecision{Service: config.Service{Name: s.Name}})
		return decodeNamed(s, serviceDecisionFields(last(d.Services))...)
	case "limit":
		d.Limits = append(d.Limits, config.Limit{Model: s.Name})
		return decodeNamed(s, limitFields(last(d.Limits))...)
	case "operator":
		d.Operators = append(d.Operators, config.CallerAnswer{Name: s.Name})
		return decodeNamed(s, callerAnswerFields(last(d.Operators))...)
	case "team":
		d.Teams = append(d.Teams, config.TeamDecision{Name: s.Name})
		return decodeNamed(s, teamDecisionFields(last(d.Teams))...)
	case "objective":
		o, err := parseObjective(s)
		d.Objectives = append(d.Objectives, o)
		return err
	}
	return s.NewError("", "", "one of the sections deployment, service, limit, operator, team, objective")
}

// FormatDecisions returns d as the contents of a file. ParseDecisions returns d for
// these contents.
func FormatDecisions(d config.Decisions) []byte {
	var w inifile.Writer
	w.Section("deployment", d.Deployment.Name, deploymentFields(&d.Deployment)...)
	for _, s := range d.Services {
		w.Section("service", s.Name, serviceDecisionFields(&s)...)
	}
	for _, l := range d.Limits {
		w.Section("limit", l.Model, limitFields(&l)...)
	}
	for _, o := range d.Operators {
		w.Section("operator", o.Name, callerAnswerFields(&o)...)
	}
	for _, t := range d.Teams {
		w.Section("team", t.Name, teamDecisionFields(&t)...)
	}
	for _, o := range d.Objectives {
		w.Section("objective", o.ID(), objectiveFields(&o)...)
	}
	return w.Bytes()
}

func serviceDecisionFields(s *config.ServiceDecision) []inifile.Field {
	return append(serviceFields(&s.Service),
		inifile.Int("max_replicas", &s.MaxReplicas, 0, config.MaxReplicas),
		inifile.Int("queue_limit", &s.QueueLimit, 0, config.MaxQueueLimit))
}

func limitFields(l *config.Limit) []inifile.Field {
	return []inifile.Field{
		inifile.Int("max_replicas", &l.MaxReplicas, 0, config.MaxReplicas),
		inifile.Int("pinned_replicas", &l.PinnedReplicas, 0, config.MaxReplicas),
	}
}

func teamDecisionFields(t *config.TeamDecision) []inifile.Field {
	return []inifile.Field{inifile.Int("weight", &t.Weight, 1, config.MaxWeight).AsRequired()}
}
