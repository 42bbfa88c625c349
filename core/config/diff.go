package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Change is one difference between two configurations. Old is empty if the value is
// added, New if it is removed.
type Change struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s = %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s = %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s = %s (was %s)", c.Path, c.New, c.Old)
}

// Diff returns the changes from a to b, ordered by path. It ignores the version, the
// order of lists and zero values.
func Diff(a, b Configuration) []Change {
	before, after := flatten(a), flatten(b)
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var out []Change
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			out = append(out, Change{Path: path, Old: before[path], New: after[path]})
		}
	}
	return out
}

// flatten returns the text of every non-zero value, by its path.
func flatten(c Configuration) map[string]string {
	out := map[string]string{}
	flattenFields(out, "deployment", c.Deployment)
	for _, s := range c.Services {
		flattenFields(out, "services["+s.Name+"]", s)
	}
	for _, m := range c.Models {
		flattenFields(out, "models["+m.Name+"]", m)
	}
	for _, a := range c.Adapters {
		flattenFields(out, "adapters["+a.Name+"]", a)
	}
	for _, caller := range c.Callers {
		flattenFields(out, "callers["+caller.Name+"]", caller)
	}
	for _, o := range c.Objectives {
		flattenFields(out, "objectives["+o.ID()+"]", o)
	}
	return out
}

// flattenFields adds the non-zero fields of a struct without nested structs to out,
// under prefix and their JSON names.
func flattenFields(out map[string]string, prefix string, record any) {
	v := reflect.ValueOf(record)
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			continue
		}
		key, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		out[prefix+"."+key] = fmt.Sprint(v.Field(i).Interface())
	}
}
