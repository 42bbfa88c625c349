package config

import (
	"cmp"
	"errors"
	"slices"
)

// Questionnaire contains a team's answers about its models, adapters, callers and
// objectives.
type Questionnaire struct {
	Team string
	// Urgency applies to those models of the team that specify none.
	Urgency    Urgency
	Models     []ModelAnswer
	Adapters   []Adapter
	Callers    []CallerAnswer
	Objectives []Objective
}

// ModelAnswer is a team's description of one of its models.
type ModelAnswer struct {
	Name, Service, Version string
	MemoryMiB, KVMiB       int64
	Urgency                Urgency
	// WantedReplicas is the number that the team requests; operators set the limit.
	WantedReplicas int
	// QueueLimit is the maximum number of requests waiting for the model on one
	// host.
	QueueLimit int
}

// CallerAnswer describes one caller of a team by the hash of its key. The team does
// not disclose the key itself.
type CallerAnswer struct {
	Name, KeySHA256 string
}

// Decisions contains the settings that operators decide: the deployment, its
// services, replica limits, operator keys, team weights and the objectives of
// services.
type Decisions struct {
	Deployment Deployment
	Services   []ServiceDecision
	Limits     []Limit
	Operators  []CallerAnswer
	Teams      []TeamDecision
	Objectives []Objective
}

// ServiceDecision is a service with the default limits of its models.
type ServiceDecision struct {
	Service
	// MaxReplicas is the replica limit of each model without a Limit. If the team
	// requests fewer replicas, that number is the limit.
	MaxReplicas int
	// QueueLimit limits the requests waiting for each model on one host. A lower
	// limit from the team applies instead.
	QueueLimit int
}

// Limit is the replica limit of one model. It applies whatever number the team
// requests.
type Limit struct {
	Model          string
	MaxReplicas    int
	PinnedReplicas int
}

// TeamDecision sets the weight of a team, which determines its share when requests
// compete.
type TeamDecision struct {
	Name   string
	Weight int
}

// operatorTeam is the team name of the callers with operator keys.
const operatorTeam = "operators"

// Generate builds a configuration of version 0 from the operators' decisions and the
// teams' questionnaires, whose order does not matter. An error is of type Errors. A
// configuration that is returned without an error passes Validate and
// RequireOperator.
func Generate(d Decisions, teams []Questionnaire) (Configuration, error) {
	g := generator{decisions: d, limits: map[string]Limit{}, weights: map[string]int{}}
	g.config.Deployment = d.Deployment
	g.applyDecisions()
	teams = slices.Clone(teams)
	slices.SortStableFunc(teams, func(a, b Questionnaire) int { return cmp.Compare(a.Team, b.Team) })
	for i, q := range teams {
		if i > 0 && teams[i-1].Team == q.Team {
			g.errs = append(g.errs, &Error{Path: "teams[" + q.Team + "]", Value: q.Team, Allowed: "described in a single questionnaire"})
		}
		g.addQuestionnaire(q)
	}
	g.sortLists()
	g.reportUnusedDecisions(teams)
	for _, err := range []error{Validate(g.config), RequireOperator(g.config)} {
		var errs Errors
		if errors.As(err, &errs) {
			g.errs = append(g.errs, errs...)
		}
	}
	if len(g.errs) > 0 {
		return Configuration{}, g.errs
	}
	return g.config, nil
}

type generator struct {
	decisions Decisions
	limits    map[string]Limit
	weights   map[string]int
	config    Configuration
	errs      Errors
}

func (g *generator) applyDecisions() {
	for _, s := range g.decisions.Services {
		g.config.Services = append(g.config.Services, s.Service)
	}
	for _, l := range g.decisions.Limits {
		g.limits[l.Model] = l
	}
	for _, t := range g.decisions.Teams {
		g.weights[t.Name] = t.Weight
	}
	for _, o := range g.decisions.Operators {
		g.config.Callers = append(g.config.Callers, Caller{Name: o.Name, Team: operatorTeam, Role: RoleOperator, KeySHA256: o.KeySHA256})
	}
	for _, o := range g.decisions.Objectives {
		g.mergeObjective(o)
	}
}

func (g *generator) addQuestionnaire(q Questionnaire) {
	for _, m := range q.Models {
		g.config.Models = append(g.config.Models, g.newModel(q, m))
	}
	g.config.Adapters = append(g.config.Adapters, q.Adapters...)
	for _, c := range q.Callers {
		g.config.Callers = append(g.config.Callers, Caller{
			Name: c.Name, Team: q.Team, Role: RoleCaller, KeySHA256: c.KeySHA256, Weight: g.weights[q.Team],
		})
	}
	for _, o := range q.Objectives {
		g.mergeObjective(o)
	}
}

func (g *generator) newModel(q Questionnaire, a ModelAnswer) Model {
	m := Model{
		Name: a.Name, Service: a.Service, Version: a.Version, MemoryMiB: a.MemoryMiB, KVMiB: a.KVMiB,
		Urgency: cmp.Or(a.Urgency, q.Urgency), QueueLimit: a.QueueLimit,
	}
	for _, s := range g.decisions.Services {
		if s.Name == a.Service {
			m.MaxReplicas = s.MaxReplicas
			m.QueueLimit = smallerLimit(a.QueueLimit, s.QueueLimit)
		}
	}
	m.MaxReplicas = smallerLimit(a.WantedReplicas, m.MaxReplicas)
	if l, ok := g.limits[a.Name]; ok {
		m.MaxReplicas, m.PinnedReplicas = l.MaxReplicas, l.PinnedReplicas
	}
	return m
}

// smallerLimit returns the smaller of two limits, where 0 means that none is set.
func smallerLimit(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// mergeObjective adds an objective. If there are several for one service and kind,
// the highest target and the lowest threshold apply.
func (g *generator) mergeObjective(o Objective) {
	for i, existing := range g.config.Objectives {
		if existing.ID() == o.ID() {
			g.config.Objectives[i].Target = max(existing.Target, o.Target)
			g.config.Objectives[i].ThresholdMS = min(existing.ThresholdMS, o.ThresholdMS)
			return
		}
	}
	g.config.Objectives = append(g.config.Objectives, o)
}

func (g *generator) sortLists() {
	slices.SortStableFunc(g.config.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(g.config.Models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(g.config.Adapters, func(a, b Adapter) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(g.config.Callers, func(a, b Caller) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(g.config.Objectives, func(a, b Objective) int { return cmp.Compare(a.ID(), b.ID()) })
}

// reportUnusedDecisions reports an error for each decision about a model or team that
// no questionnaire describes, because its name is most likely misspelt.
func (g *generator) reportUnusedDecisions(teams []Questionnaire) {
	for _, l := range g.decisions.Limits {
		if _, ok := g.config.Model(l.Model); !ok {
			g.errs = append(g.errs, &Error{Path: "limits[" + l.Model + "]", Value: l.Model, Allowed: "a model that a questionnaire describes"})
		}
	}
	for _, t := range g.decisions.Teams {
		if !slices.ContainsFunc(teams, func(q Questionnaire) bool { return q.Team == t.Name }) {
			g.errs = append(g.errs, &Error{Path: "teams[" + t.Name + "]", Value: t.Name, Allowed: "a team with a questionnaire"})
		}
	}
}
