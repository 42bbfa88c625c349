package main

import (
	"io"

	"github.com/pollenwheel/pollenwheel/node/settings"
)

// checkSettings loads a settings file and prints the settings with their defaults.
func checkSettings(out io.Writer, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	_, err = out.Write(settings.Format(s))
	return err
}
