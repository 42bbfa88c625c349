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

// Field binds a key to a variable, for reading and for writing.
type Field struct {
	Key string
	// Allowed describes the accepted values.
	Allowed  string
	Required bool
	parse    func(string) error
	format   func() string
	zero     func() bool
}

// Must marks a field as required.
func (f Field) Must() Field {
	f.Required = true
	return f
}

var errNotAllowed = errors.New("value is not allowed")

// Name binds an identifier.
func Name(key string, p *string) Field {
	return text(key, p, config.NameRule, config.ValidName)
}

// Address binds an IP address with a port.
func Address(key string, p *string) Field {
	return text(key, p, "an IP address and port such as 127.0.0.1:7100", ValidAddress)
}

// ValidAddress reports whether s is an IP address with a port above 0, in the
// canonical form, so that equal addresses are equal strings.
func ValidAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.String() == s && a.Port() > 0 && !a.Addr().IsUnspecified()
}

// KeyHash binds the SHA-256 of a key.
func KeyHash(key string, p *string) Field {
	return text(key, p, config.KeyHashRule, config.ValidKeyHash)
}

// Text binds any text that is not empty.
func Text(key string, p *string) Field {
	return text(key, p, "text that is not empty", func(s string) bool { return s != "" })
}

func text(key string, p *string, allowed string, valid func(string) bool) Field {
	return Field{
		Key: key, Allowed: allowed,
		parse: func(s string) error {
			if !valid(s) {
				return errNotAllowed
			}
			*p = s
			return nil
		},
		format: func() string { return *p },
		zero:   func() bool { return *p == "" },
	}
}

// Names binds a list of identifiers separated by commas.
func Names(key string, p *[]string) Field {
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
			*p = out
			return nil
		},
		format: func() string { return strings.Join(*p, ", ") },
		zero:   func() bool { return len(*p) == 0 },
	}
}

// Int binds a whole number between low and high.
func Int[T int | int64 | uint64](key string, p *T, low, high T) Field {
	return Field{
		Key: key, Allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		parse: func(s string) error {
			v, err := strconv.ParseInt(s, 10, 64)
			if err != nil || v < int64(low) || v > int64(high) {
				return errNotAllowed
			}
			*p = T(v)
			return nil
		},
		format: func() string { return strconv.FormatInt(int64(*p), 10) },
		zero:   func() bool { return *p == 0 },
	}
}

// Float binds a number between low and high.
func Float(key string, p *float64, low, high float64) Field {
	return Field{
		Key: key, Allowed: fmt.Sprintf("a number from %g to %g", low, high),
		parse: func(s string) error {
			v, err := strconv.ParseFloat(s, 64)
			if err != nil || math.IsNaN(v) || v < low || v > high {
				return errNotAllowed
			}
			*p = v
			return nil
		},
		format: func() string { return strconv.FormatFloat(*p, 'g', -1, 64) },
		zero:   func() bool { return *p == 0 },
	}
}

// Choice binds one of several words.
func Choice[T ~string](key string, p *T, allowed ...T) Field {
	words := make([]string, len(allowed))
	for i, a := range allowed {
		words[i] = string(a)
	}
	return Field{
		Key: key, Allowed: "one of " + strings.Join(words, ", "),
		parse: func(s string) error {
			for _, a := range allowed {
				if s == string(a) {
					*p = a
					return nil
				}
			}
			return errNotAllowed
		},
		format: func() string { return string(*p) },
		zero:   func() bool { return *p == "" },
	}
}

// Bool binds true or false.
func Bool(key string, p *bool) Field {
	return Field{
		Key: key, Allowed: "true or false",
		parse: func(s string) error {
			if s != "true" && s != "false" {
				return errNotAllowed
			}
			*p = s == "true"
			return nil
		},
		format: func() string { return strconv.FormatBool(*p) },
		zero:   func() bool { return !*p },
	}
}

// Duration binds a time span between low and high.
func Duration(key string, p *time.Duration, low, high time.Duration) Field {
	return Field{
		Key: key, Allowed: fmt.Sprintf("a time span from %s to %s, such as 10s", low, high),
		parse: func(s string) error {
			v, err := time.ParseDuration(s)
			if err != nil || v < low || v > high {
				return errNotAllowed
			}
			*p = v
			return nil
		},
		format: func() string { return p.String() },
		zero:   func() bool { return *p == 0 },
	}
}
