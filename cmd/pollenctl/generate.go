package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/documents"
)

func (e *environment) generateCommand(app *kingpin.Application) command {
	clause := app.Command("generate", "Generate a configuration from the operators' decisions and the teams' questionnaires.")
	decisions := clause.Arg("decisions", "File with the operators' decisions.").Required().String()
	questionnaires := clause.Arg("questionnaires", "Questionnaires of teams.").Strings()
	file := clause.Flag("file", "Configuration file to write, instead of printing the configuration.").String()
	return command{clause, func(context.Context) (result, error) {
		c, err := generate(*decisions, *questionnaires)
		if err != nil {
			return result{}, err
		}
		data := documents.FormatConfiguration(c)
		if *file == "" {
			return result{value: c, text: func(w io.Writer) { _, _ = w.Write(data) }}, nil
		}
		out := generateResult{File: *file, Models: len(c.Models), Adapters: len(c.Adapters), Callers: len(c.Callers)}
		return result{value: out, text: out.print}, writeFile(*file, data)
	}}
}

// generateResult describes a written configuration.
type generateResult struct {
	File     string `json:"file"`
	Models   int    `json:"models"`
	Adapters int    `json:"adapters"`
	Callers  int    `json:"callers"`
}

func (g generateResult) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "wrote %s with %d models, %d adapters and %d callers\n", g.File, g.Models, g.Adapters, g.Callers)
}

// generate generates a configuration from a file of decisions and files of
// questionnaires.
func generate(decisionsFile string, questionnaireFiles []string) (config.Configuration, error) {
	d, err := readFile(decisionsFile, documents.ParseDecisions)
	if err != nil {
		return config.Configuration{}, err
	}
	var answers []config.Questionnaire
	for _, path := range questionnaireFiles {
		q, err := readFile(path, documents.ParseQuestionnaire)
		if err != nil {
			return config.Configuration{}, err
		}
		answers = append(answers, q)
	}
	return config.Generate(d, answers)
}
