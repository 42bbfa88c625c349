package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/documents"
)

const questionnaireHelp = `
; Describe every model, adapter and objective in a section as below, without the
; leading semicolons. Numbers of MiB are accelerator memory of one replica.
;
; [model example]
; service = name of the engine service that runs it
; version = 1
; urgency = interactive, standard or patient
; memory_mib = 14000
; kv_mib = 4000
; wanted_replicas = 1
; queue_limit = 50
;
; [adapter example-letters]
; model = example
; version = 1
; memory_mib = 90
;
; [objective SERVICE/first_token]
; target = 0.95
; threshold_ms = 2000
`

const decisionsHelp = `
; Add the services, and limits where a model needs its own, in sections as
; below, without the leading semicolons.
;
; [service example]
; kind = engine or plain
; max_replicas = 2
; queue_limit = 100
;
; [limit MODEL]
; max_replicas = 3
; pinned_replicas = 1
;
; [team TEAM]
; weight = 2
;
; [objective SERVICE/availability]
; target = 0.999
`

// questionnaireResult describes a written questionnaire.
type questionnaireResult struct {
	File string `json:"file"`
	// Keys are the new keys by name of the caller or operator. They are printed
	// only once.
	Keys map[string]string `json:"keys"`
}

func (e *environment) questionnaireCommand(app *kingpin.Application) command {
	clause := app.Command("questionnaire", "Write a questionnaire for a team, or for the operators of a deployment, with new keys.")
	file := clause.Flag("file", "File to write; it must not exist.").Required().String()
	team := clause.Flag("team", "Team that fills in the questionnaire.").String()
	callers := clause.Flag("caller", "Caller of the team that gets a new key. May be repeated.").Strings()
	deployment := clause.Flag("deployment", "Deployment whose operators fill in the questionnaire.").String()
	operators := clause.Flag("operator", "Operator who gets a new key. May be repeated.").Strings()
	return command{clause, func(context.Context) (result, error) {
		if (*team == "") == (*deployment == "") || *team == "" && len(*callers) > 0 || *deployment == "" && len(*operators) > 0 {
			return result{}, &usageError{errors.New("give --team with --caller, or --deployment with --operator")}
		}
		out := questionnaireResult{File: *file, Keys: map[string]string{}}
		data, err := newQuestionnaire(out.Keys, *team, *callers)
		if *deployment != "" {
			data, err = newDecisions(out.Keys, *deployment, *operators)
		}
		if err != nil {
			return result{}, err
		}
		return result{value: out, text: func(w io.Writer) { printKeys(w, out) }}, createFile(*file, data)
	}}
}

func printKeys(w io.Writer, out questionnaireResult) {
	_, _ = fmt.Fprintf(w, "wrote %s\n", out.File)
	for _, name := range sortedKeys(out.Keys) {
		_, _ = fmt.Fprintf(w, "key of %s, shown only now: %s\n", name, out.Keys[name])
	}
}

// newQuestionnaire returns the text of a team's questionnaire, and adds the new keys of
// its callers to keys. It returns an error if the text is not valid, such as for an
// invalid name.
func newQuestionnaire(keys map[string]string, team string, callers []string) ([]byte, error) {
	q := config.Questionnaire{Team: team, Callers: newKeys(keys, callers)}
	data := documents.FormatQuestionnaire(q)
	_, err := documents.ParseQuestionnaire("questionnaire", data)
	return append(data, questionnaireHelp...), err
}

// newDecisions returns the text of a decisions file for the operators of a deployment,
// and adds their new keys to keys. It returns an error if the text is not valid.
func newDecisions(keys map[string]string, deployment string, operators []string) ([]byte, error) {
	d := config.Decisions{Deployment: config.Deployment{Name: deployment}, Operators: newKeys(keys, operators)}
	data := documents.FormatDecisions(d)
	_, err := documents.ParseDecisions("decisions", data)
	return append(data, decisionsHelp...), err
}

// newKeys adds a random key for each name to keys, and returns their hashes.
func newKeys(keys map[string]string, names []string) []config.CallerAnswer {
	var out []config.CallerAnswer
	for _, name := range names {
		keys[name] = rand.Text()
		out = append(out, config.CallerAnswer{Name: name, KeySHA256: admin.HashKey(keys[name])})
	}
	return out
}

// createFile writes a file that must not exist yet, so that answers are never
// overwritten.
func createFile(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if errors.Is(err, os.ErrExist) {
		return &usageError{err}
	}
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Close())
}
