package decision

import "github.com/pollenwheel/pollenwheel/core/notice"

// NoticeFields returns the fields of a line for a change of what a server says of itself.
func NoticeFields(c notice.Change) Fields {
	fields := Fields{FieldServer: c.Server, FieldOutcome: string(c.Kind)}
	switch {
	case c.Kind == notice.KindLimit && c.Limited:
		fields[FieldPerSecond] = c.PerSecond
	case c.Kind == notice.KindLimit:
		fields[FieldOutcome] = "limit ended"
	case c.Kind == notice.KindPause:
		fields[FieldPauseAsked] = c.Pause.Milliseconds()
	case c.Kind == notice.KindInvalid:
		fields[FieldReason] = c.Invalid.Name + ": " + c.Invalid.Value
	}
	return fields
}
