package peer

import (
	"reflect"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/node/peer/peerpb"
)

// TestOriginsKeepAllFields guards against streams, questions or answers that are lost or mixed
// up in the conversion, and against a malformed group that names wrong streams.
func TestOriginsKeepAllFields(t *testing.T) {
	v1, v2 := origin.Origin{Service: "a", Version: "v1"}, origin.Origin{Service: "a", Version: "v2"}
	report := origin.Report{
		Host: "h", Records: []origin.Record{{Stream: 1, Origin: v1, Expires: time.Second}, {Stream: 3, Origin: v1, Expires: time.Minute}, {Stream: 2, Origin: v2, Expires: time.Second}},
		Questions: []origin.Question{{Stream: 4, Services: []string{"a", "b"}}, {Stream: 5}},
	}
	message := originReportToProto(report)
	if got := originReportFromProto(message); !reflect.DeepEqual(got, report) {
		t.Errorf("report %+v, want %+v", got, report)
	}
	message.Begun[0].Streams = message.Begun[0].Streams[:1]
	if got := originReportFromProto(message); !reflect.DeepEqual(got.Records, report.Records[2:]) {
		t.Errorf("records %+v of a malformed report, want those of the sound group", got.Records)
	}
	if got := originReportFromProto(&peerpb.OriginsRequest{}); len(got.Records)+len(got.Questions) > 0 {
		t.Errorf("an empty report holds %+v", got)
	}
	reply := origin.Reply{Term: 7, Answers: []origin.Answer{{Known: true, Origin: v1}, {Known: true, Inferred: true, Origin: v2}, {}}}
	if got := originReplyFromProto(originReplyToProto(reply)); !reflect.DeepEqual(got, reply) {
		t.Errorf("reply %+v, want %+v", got, reply)
	}
}
