package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
)

// TestAnswerWithAStatusThatIsNone guards against an answer with a status that HTTP does not define:
// it ended the connection of the caller without an answer, was passed on, or was recorded as the
// outcome of a call that runs once and sent again.
func TestAnswerWithAStatusThatIsNone(t *testing.T) {
	const servicePath, modelPath = "/v1/services/" + orderService + "/orders", "/v1/chat/completions"
	for _, status := range []string{"000 None", "042 None", "099 None", "101 Switching Protocols", "600 None", "999 None"} {
		for _, c := range []struct{ path, rest string }{
			{servicePath, "Content-Length: 3\r\n\r\nodd"},
			{modelPath, "Content-Type: text/event-stream\r\n\r\ndata: {}\n\ndata: [DONE]\n\n"},
		} {
			t.Run(status+" "+c.path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					odd := membership.Server{Name: "odd", Service: orderService, Kind: config.KindPlain, DataCentre: "waco", Address: "10.0.9.1:80", Incarnation: 1, Sequence: 1}
					if c.path == modelPath {
						odd.Service, odd.Kind, odd.MemoryMiB = "lace-assist", config.KindEngine, 1000
					}
					cl := newCluster(clusterOptions{hosts: 1})
					defer cl.close()
					startRawServer(cl, odd, "HTTP/1.1 "+status+"\r\nX-Attempt-Id: $ID\r\n"+c.rest, func() {})
					time.Sleep(100 * time.Millisecond)
					header := map[string]string{
						"X-Idempotent": "false", "Idempotency-Key": fmt.Sprintf("%d.k", time.Now().UnixMilli()), "X-Deadline-Ms": "900",
					}
					for range 2 {
						r := cl.hosts[0].call(context.Background(), c.path, header, chatBody("odd", true, 3))
						if r.aborted || r.refusal == nil || r.refusal.Execution != ExecutionUnknown || r.header.Get("X-Replayed") != "" {
							t.Errorf("status %d, aborted %v, body %q; want a refusal as unknown", r.status, r.aborted, r.body)
						}
						if c.path == modelPath {
							break
						}
					}
				})
			})
		}
	}
}
