package documents

import (
	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/inifile"
)

// ParseQuestionnaire reads the answers of one team. It does not check references to
// other files; config.Generate does. Path is used only in errors, which are of type
// *inifile.Error.
func ParseQuestionnaire(path string, data []byte) (config.Questionnaire, error) {
	var q config.Questionnaire
	f, err := inifile.Parse(path, data)
	if err != nil {
		return q, err
	}
	for _, s := range f.Sections {
		if err := parseQuestionnaireSection(&q, s); err != nil {
			return config.Questionnaire{}, err
		}
	}
	if q.Team == "" {
		return config.Questionnaire{}, &inifile.Error{File: path, Section: "team", Allowed: "given"}
	}
	return q, nil
}

// parseQuestionnaireSection adds a section of a questionnaire to q.
func parseQuestionnaireSection(q *config.Questionnaire, s inifile.Section) error {
	switch s.Kind {
	case "team":
		return decodeUnnamed(s, teamFields(q)...)
	case "model":
		q.Models = append(q.Models, config.ModelAnswer{Name: s.Name})
		return decodeNamed(s, modelAnswerFields(last(q.Models))...)
	case "adapter":
		q.Adapters = append(q.Adapters, config.Adapter{Name: s.Name})
		return decodeNamed(s, adapterFields(last(q.Adapters))...)
	case "caller":
		q.Callers = append(q.Callers, config.CallerAnswer{Name: s.Name})
		return decodeNamed(s, callerAnswerFields(last(q.Callers))...)
	case "objective":
		o, err := parseObjective(s)
		q.Objectives = append(q.Objectives, o)
		return err
	}
	return s.NewError("", "", "one of the sections team, model, adapter, caller, objective")
}

// FormatQuestionnaire returns q as the contents of a file. ParseQuestionnaire
// returns q for these contents.
func FormatQuestionnaire(q config.Questionnaire) []byte {
	var w inifile.Writer
	w.Section("team", "", teamFields(&q)...)
	for _, m := range q.Models {
		w.Section("model", m.Name, modelAnswerFields(&m)...)
	}
	for _, a := range q.Adapters {
		w.Section("adapter", a.Name, adapterFields(&a)...)
	}
	for _, c := range q.Callers {
		w.Section("caller", c.Name, callerAnswerFields(&c)...)
	}
	for _, o := range q.Objectives {
		w.Section("objective", o.ID(), objectiveFields(&o)...)
	}
	return w.Bytes()
}

func teamFields(q *config.Questionnaire) []inifile.Field {
	return []inifile.Field{inifile.Name("name", &q.Team).AsRequired(), urgencyField(&q.Urgency)}
}

func modelAnswerFields(m *config.ModelAnswer) []inifile.Field {
	return []inifile.Field{
		inifile.Name("service", &m.Service).AsRequired(),
		inifile.Name("version", &m.Version).AsRequired(),
		urgencyField(&m.Urgency),
		inifile.Int("memory_mib", &m.MemoryMiB, 1, config.MaxMemoryMiB).AsRequired(),
		inifile.Int("kv_mib", &m.KVMiB, 0, config.MaxMemoryMiB),
		inifile.Int("wanted_replicas", &m.WantedReplicas, 0, config.MaxReplicas),
		inifile.Int("queue_limit", &m.QueueLimit, 0, config.MaxQueueLimit),
	}
}

func callerAnswerFields(c *config.CallerAnswer) []inifile.Field {
	return []inifile.Field{inifile.KeyHash("key_sha256", &c.KeySHA256).AsRequired()}
}

// decodeNamed decodes a section whose header must have a name.
func decodeNamed(s inifile.Section, fields ...inifile.Field) error {
	if !config.ValidName(s.Name) {
		return s.NewError("", "", "named, as in ["+s.Kind+" example]; a name is "+config.NameRule)
	}
	return s.Decode(fields...)
}
