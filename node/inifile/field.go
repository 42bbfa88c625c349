package inifile

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
)

// Field binds a key to a variable for reading and writing.
type Field struct {
	Key string
	// Allowed describes the accepted values, to follow "must be" in an error.
	Allowed  string
	Required bool
	// parse sets the variable from the text of a value, or leaves the variable
	// unchanged and returns an error. format returns the variable as text. isZero
	// reports whether the variable has its zero value.
	parse  func(string) error
	format func() string
	isZero func() bool
}

// AsRequired returns the field marked as required.
func (f Field) AsRequired() Field {
	f.Required = true
	return f
}

var errNotAllowed = errors.New("value is not allowed")

// Name binds an identifier that follows config.NameRule.
func Name(key string, target *string) Field {
	return textField(key, target, config.NameRule, config.ValidName)
}

// Address binds an IP address with a port.
func Address(key string, target *string) Field {
	return textField(key, target, "an IP address and port such as 127.0.0.1:7100", ValidAddress)
}

// ValidAddress reports whether s is an IP address, other than the unspecified one,
// with a port above 0 in canonical form. Only that form is accepted, so that equal
// addresses are equal strings.
func ValidAddress(s string) bool {
	address, err := netip.ParseAddrPort(s)
	return err == nil && address.String() == s && address.Port() > 0 && !address.Addr().IsUnspecified()
}

// KeyHash binds the SHA-256 of a key, in the form of config.KeyHashRule.
func KeyHash(key string, target *string) Field {
	return textField(key, target, config.KeyHashRule, config.ValidKeyHash)
}

// Text binds a text that is not empty.
func Text(key string, target *string) Field {
	return textField(key, target, "text that is not empty", func(s string) bool { return s != "" })
}

// textField binds a text that valid accepts.
func textField(key string, target *string, allowed string, valid func(string) bool) Field {
	return Field{
		Key: key, Allowed: allowed,
		parse: func(s string) error {
			if !valid(s) {
				return errNotAllowed
			}
			*target = s
			return nil
		},
		format: func() string { return *target },
		isZero: func() bool { return *target == "" },
	}
}

// Names binds a list of identifiers separated by commas.
func Names(key string, target *[]string) Field {
	return Field{
		Key: key, Allowed: "a list of names separated by commas, each once, each " + config.NameRule,
		parse: func(s string) error {
			seen := map[string]bool{}
			var out []string
			for part := range strings.SplitSeq(s, ",") {
				part = strings.TrimSpace(part)
				if !config.ValidName(part) || seen[part] {
					return errNotAllowed
				}
				seen[part] = true
				out = append(out, part)
			}
			*target = out
			return nil
		},
		format: func() string { return strings.Join(*target, ", ") },
		isZero: func() bool { return len(*target) == 0 },
	}
}

// Int binds a whole number from low to high.
func Int[T int | int64 | uint64](key string, target *T, low, high T) Field {
	return Field{
		Key: key, Allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		parse: func(s string) error {
			v, err := strconv.ParseInt(s, 10, 64)
			if err != nil || v < int64(low) || v > int64(high) {
				return errNotAllowed
			}
			*target = T(v)
			return nil
		},
		format: func() string { return strconv.FormatInt(int64(*target), 10) },
		isZero: func() bool { return *target == 0 },
	}
}

// Float binds a number from low to high.
func Float(key string, target *float64, low, high float64) Field {
	return Field{
		Key: key, Allowed: fmt.Sprintf("a number from %g to %g", low, high),
		parse: func(s string) error {
			v, err := strconv.ParseFloat(s, 64)
			if err != nil || math.IsNaN(v) || v < low || v > high {
				return errNotAllowed
			}
			*target = v
			return nil
		},
		format: func() string { return strconv.FormatFloat(*target, 'g', -1, 64) },
		isZero: func() bool { return *target == 0 },
	}
}

// Choice binds one of the allowed words.
func Choice[T ~string](key string, target *T, allowed ...T) Field {
	words := make([]string, len(allowed))
	for i, word := range allowed {
		words[i] = string(word)
	}
	return Field{
		Key: key, Allowed: "one of " + strings.Join(words, ", "),
		parse: func(s string) error {
			for _, word := range allowed {
				if s == string(word) {
					*target = word
					return nil
				}
			}
			return errNotAllowed
		},
		format: func() string { return string(*target) },
		isZero: func() bool { return *target == "" },
	}
}

// Bool binds true or false.
func Bool(key string, target *bool) Field {
	return Field{
		Key: key, Allowed: "true or false",
		parse: func(s string) error {
			if s != "true" && s != "false" {
				return errNotAllowed
			}
			*target = s == "true"
			return nil
		},
		format: func() string { return strconv.FormatBool(*target) },
		isZero: func() bool { return !*target },
	}
}

// Duration binds a time span from low to high.
func Duration(key string, target *time.Duration, low, high time.Duration) Field {
	return Field{
		Key: key, Allowed: fmt.Sprintf("a time span from %s to %s, such as 10s", low, high),
		parse: func(s string) error {
			v, err := time.ParseDuration(s)
			if err != nil || v < low || v > high {
				return errNotAllowed
			}
			*target = v
			return nil
		},
		format: func() string { return target.String() },
		isZero: func() bool { return *target == 0 },
	}
}
