package notice

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Field is one header of an answer: its name, and its value each time that it occurs.
type Field struct {
	Name   string
	Values []string
}

// Fields are the headers of an answer with which a server speaks of itself. Protocols give
// them different names. Trailers are not among them, because requests have been sent by
// the time that they arrive.
type Fields struct {
	// Limit holds a decimal number of requests per second.
	Limit Field
	// Leaving holds "1".
	Leaving Field
	// Pause holds a decimal number of seconds. It is read only if Refused is set.
	Pause Field
	// Refused is set if the answer turns the request away.
	Refused bool
}

// maxLoggedValue is the number of bytes of an invalid value that are kept.
const maxLoggedValue = 64

// Read returns the notice in the headers of an answer.
func Read(f Fields) Notice {
	var n Notice
	if value, ok := n.number(f.Limit); ok {
		n.LimitNamed, n.PerSecond = true, value
	}
	n.LimitInvalid = len(n.Invalid) > 0
	if len(f.Leaving.Values) > 0 {
		n.Leaving = f.Leaving.Values[0] == "1"
		if !n.Leaving {
			n.addInvalid(f.Leaving)
		}
	}
	if value, ok := n.number(f.Pause); ok && f.Refused {
		n.Pause = time.Duration(min(value, MaxPause.Seconds()) * float64(time.Second))
	}
	return n
}

// number returns the value of a field, and false if it is missing or no decimal number of
// zero or more. A field that occurs twice with different values has none.
func (n *Notice) number(f Field) (float64, bool) {
	if len(f.Values) == 0 {
		return 0, false
	}
	for _, v := range f.Values[1:] {
		if v != f.Values[0] {
			n.addInvalid(f)
			return 0, false
		}
	}
	value, err := strconv.ParseFloat(strings.TrimSpace(f.Values[0]), 64)
	switch {
	case !isDecimal(f.Values[0]):
	case err == nil:
		return value, true
	case math.IsInf(value, 1):
		// The number exceeds the range of float64. It is a limit that restricts nothing.
		return math.MaxFloat64, true
	}
	n.addInvalid(f)
	return 0, false
}

// isDecimal reports whether text is a decimal number of zero or more. ParseFloat also
// accepts signs, hexadecimal numbers, infinities and underscores.
func isDecimal(text string) bool {
	text = strings.TrimSpace(text)
	return text != "" && strings.Trim(text, "0123456789.eE+-") == "" && text[0] != '-' && text[0] != '+'
}

func (n *Notice) addInvalid(f Field) {
	value := strings.Join(f.Values, ", ")
	n.Invalid = append(n.Invalid, InvalidValue{Name: f.Name, Value: value[:min(len(value), maxLoggedValue)]})
}
