package admin

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/core/ratelimit"
)

// NoticeReporter reports what backend servers say of themselves in their answers.
type NoticeReporter interface {
	// Notices returns what servers say, as this host knows it.
	Notices() []notice.Statement
	// PermitUsage returns how the limits are used, and false if this host does not lead.
	PermitUsage() ([]ratelimit.Usage, bool)
}

// NoticesAnswer lists what backend servers say of themselves.
type NoticesAnswer struct {
	// Host is the host that answers, and Leader the one that grants permits, if known.
	Host   string `json:"host"`
	Leader string `json:"leader,omitempty"`
	// Servers is what servers say, as Host knows it.
	Servers []ServerNotice `json:"servers"`
	// Permits is how the limits are used. It is only known to the leader.
	Permits []PermitUsage `json:"permits,omitempty"`
}

// ServerNotice is what one backend server process says of itself.
type ServerNotice struct {
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation"`
	// Limited is set if the server takes PerSecond requests per second from all hosts.
	Limited   bool    `json:"limited"`
	PerSecond float64 `json:"per_second,omitempty"`
	Leaving   bool    `json:"leaving"`
	// PausedMS is how much longer the server wants no requests from Host, in milliseconds.
	PausedMS int64 `json:"paused_ms,omitempty"`
	// Sent counts the requests that Host sent to the server in the last 4 s, and Refused
	// those that it has refused because of what the server says.
	Sent    int `json:"sent_4s"`
	Refused int `json:"refused"`
}

// PermitUsage is how the permits for one limited backend server process were used.
type PermitUsage struct {
	Server      string  `json:"server"`
	Incarnation uint64  `json:"incarnation"`
	PerSecond   float64 `json:"per_second"`
	// Granted counts the permits by host since the limit was named, and Waiting is the
	// number of requests that wait for one and that no other server can take.
	Granted map[string]int `json:"granted"`
	Waiting int            `json:"waiting"`
}

func (a *API) notices(c echo.Context) error {
	out := NoticesAnswer{Host: a.deps.Host, Leader: a.deps.Control.ControlStatus().Leader, Servers: []ServerNotice{}}
	for _, s := range a.deps.Notices.Notices() {
		out.Servers = append(out.Servers, ServerNotice{
			Server: s.Server, Incarnation: s.Incarnation, Limited: s.Limited, PerSecond: s.PerSecond, Leaving: s.Leaving,
			PausedMS: s.Paused.Milliseconds(), Sent: s.Sent, Refused: s.Refused,
		})
	}
	usage, _ := a.deps.Notices.PermitUsage()
	for _, u := range usage {
		out.Permits = append(out.Permits, PermitUsage{
			Server: u.Server, Incarnation: u.Incarnation, PerSecond: u.PerSecond, Granted: u.Granted, Waiting: u.Waiting,
		})
	}
	return c.JSON(http.StatusOK, out)
}
