package config

import (
	"cmp"
	"errors"
	"slices"
)

// Questionnaire holds one team's answers about its models, adapters, callers
// and objectives.
type Questionnaire struct {
	Team string
	// Urgency applies to the team's models that state none.
	Urgency    Urgency
	Models     []ModelAnswer
	Adapters   []Adapter
	Callers    []CallerAnswer
	Objectives []Objective
}

// ModelAnswer describes a model as its team sees it.
type ModelAnswer struct {
	Name, Service, Version string
	MemoryMiB, KVMiB       int64
	Urgency                Urgency
	// WantedReplicas is the team's wish; operators set the limit.
	WantedReplicas int
	// QueueLimit bounds the requests waiting for the model on one host.
	QueueLimit int
}

// CallerAnswer is one key of a team. The key itself stays with the team.
type CallerAnswer struct {
	Name, KeySHA256 string
}

// Decisions hold what operators decide: the deployment, its services, replica
// limits, operator keys, team weights and the objectives of services.
type Decisions struct {
	Deployment Deployment
	Services   []ServiceDecision
	Limits     []Limit
	Operators  []CallerAnswer
	Teams      []TeamDecision
	Objectives []Objective
}

// ServiceDecision is a service with the limits of models that have none of
// their own.
type ServiceDecision struct {
	Service
	// MaxReplicas limits each model; a team that wants fewer gets fewer.
	MaxReplicas int
	QueueLimit  int
}

// Limit is the replica limit of one model. It applies as it is.
type Limit struct {
	Model          string
	MaxReplicas    int
	PinnedReplicas int
}

// TeamDecision is a team's share when requests compete.
type TeamDecision struct {
	Name   string
	Weight int
}

// operatorTeam is the team of the operators' keys.
const operatorTeam = "operators"

// Generate builds one configuration of version 0 from the operators' decisions
// and the teams' questionnaires, whose order does not matter. Errors are of type
// Errors; a result that is returned without an error passes Validate.
func Generate(d Decisions, teams []Questionnaire) (Configuration, error) {
	g := generator{decisions: d, limits: map[string]Limit{}, weights: map[string]int{}}
	g.c.Deployment = d.Deployment
	g.decide()
	teams = slices.Clone(teams)
	slices.SortStableFunc(teams, func(a, b Questionnaire) int { return cmp.Compare(a.Team, b.Team) })
	for i, q := range teams {
		if i > 0 && teams[i-1].Team == q.Team {
			g.errs = append(g.errs, &Error{Path: "teams[" + q.Team + "]", Value: q.Team, Allowed: "answered in one questionnaire"})
		}
		g.team(q)
	}
	g.order()
	g.unusedDecisions(teams)
	for _, err := range []error{Validate(g.c), RequireOperator(g.c)} {
		var faults Errors
		if errors.As(err, &faults) {
			g.errs = append(g.errs, faults...)
		}
	}
	if len(g.errs) > 0 {
		return Configuration{}, g.errs
	}
	return g.c, nil
}

type generator struct {
	decisions Decisions
	limits    map[string]Limit
	weights   map[string]int
	c         Configuration
	errs      Errors
}

func (g *generator) decide() {
	for _, s := range g.decisions.Services {
		g.c.Services = append(g.c.Services, s.Service)
	}
	for _, l := range g.decisions.Limits {
		g.limits[l.Model] = l
	}
	for _, t := range g.decisions.Teams {
		g.weights[t.Name] = t.Weight
	}
	for _, o := range g.decisions.Operators {
		g.c.Callers = append(g.c.Callers, Caller{Name: o.Name, Team: operatorTeam, Role: RoleOperator, KeySHA256: o.KeySHA256})
	}
	for _, o := range g.decisions.Objectives {
		g.objective(o)
	}
}

func (g *generator) team(q Questionnaire) {
	for _, m := range q.Models {
		g.c.Models = append(g.c.Models, g.model(q, m))
	}
	g.c.Adapters = append(g.c.Adapters, q.Adapters...)
	for _, c := range q.Callers {
		g.c.Callers = append(g.c.Callers, Caller{
			Name: c.Name, Team: q.Team, Role: RoleCaller, KeySHA256: c.KeySHA256, Weight: g.weights[q.Team],
		})
	}
	for _, o := range q.Objectives {
		g.objective(o)
	}
}

func (g *generator) model(q Questionnaire, a ModelAnswer) Model {
	m := Model{
		Name: a.Name, Service: a.Service, Version: a.Version, MemoryMiB: a.MemoryMiB, KVMiB: a.KVMiB,
		Urgency: cmp.Or(a.Urgency, q.Urgency), QueueLimit: a.QueueLimit,
	}
	for _, s := range g.decisions.Services {
		if s.Name == a.Service {
			m.MaxReplicas = s.MaxReplicas
			m.QueueLimit = smallest(a.QueueLimit, s.QueueLimit)
		}
	}
	m.MaxReplicas = smallest(a.WantedReplicas, m.MaxReplicas)
	if l, ok := g.limits[a.Name]; ok {
		m.MaxReplicas, m.PinnedReplicas = l.MaxReplicas, l.PinnedReplicas
	}
	return m
}

// smallest returns the smaller of two limits, where 0 stands for no answer.
func smallest(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// objective adds an objective. Of several for one service and kind, the highest
// target and the lowest threshold apply.
func (g *generator) objective(o Objective) {
	for i, have := range g.c.Objectives {
		if have.ID() == o.ID() {
			g.c.Objectives[i].Target = max(have.Target, o.Target)
			g.c.Objectives[i].ThresholdMS = min(have.ThresholdMS, o.ThresholdMS)
			return
		}
	}
	g.c.Objectives = append(g.c.Objectives, o)
}

func (g *generator) order() {
	slices.SortStableFunc(g.c.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(g.c.Models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(g.c.Adapters, func(a, b Adapter) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(g.c.Callers, func(a, b Caller) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(g.c.Objectives, func(a, b Objective) int { return cmp.Compare(a.ID(), b.ID()) })
}

// unusedDecisions reports decisions about models and teams that nobody
// described, since they are most likely misspelt.
func (g *generator) unusedDecisions(teams []Questionnaire) {
	for _, l := range g.decisions.Limits {
		if _, ok := g.c.Model(l.Model); !ok {
			g.errs = append(g.errs, &Error{Path: "limits[" + l.Model + "]", Value: l.Model, Allowed: "a model of a questionnaire"})
		}
	}
	for _, t := range g.decisions.Teams {
		if !slices.ContainsFunc(teams, func(q Questionnaire) bool { return q.Team == t.Name }) {
			g.errs = append(g.errs, &Error{Path: "teams[" + t.Name + "]", Value: t.Name, Allowed: "a team with a questionnaire"})
		}
	}
}
