package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/documents"
)

// Kinds of files that validate checks.
const (
	kindConfiguration = "configuration"
	kindQuestionnaire = "questionnaire"
	kindDecisions     = "decisions"
)

type validateResult struct {
	Valid []string `json:"valid"`
}

func (e *environment) validateCommand(app *kingpin.Application) command {
	clause := app.Command("validate", "Check files without applying them.")
	kind := clause.Flag("kind", "Kind of the files: configuration, questionnaire or decisions.").
		Default(kindConfiguration).Enum(kindConfiguration, kindQuestionnaire, kindDecisions)
	files := clause.Arg("files", "Files to check.").Required().Strings()
	return command{clause, func(context.Context) (result, error) {
		var out validateResult
		for _, path := range *files {
			if err := validate(*kind, path); err != nil {
				return result{}, err
			}
			out.Valid = append(out.Valid, path)
		}
		return result{value: out, text: func(w io.Writer) { _, _ = fmt.Fprintln(w, "valid:", joinOr(out.Valid, "")) }}, nil
	}}
}

func validate(kind, path string) error {
	switch kind {
	case kindQuestionnaire:
		_, err := readFile(path, documents.ParseQuestionnaire)
		return err
	case kindDecisions:
		_, err := readFile(path, documents.ParseDecisions)
		return err
	}
	c, err := readFile(path, documents.ParseConfiguration)
	if err != nil {
		return err
	}
	return config.RequireOperator(c)
}
