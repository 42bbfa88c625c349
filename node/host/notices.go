package host

import (
	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/core/ratelimit"
	"github.com/pollenwheel/pollenwheel/node/permits"
)

// noticeSource is the part of a host that sends requests to backend servers and reads what
// they say of themselves.
type noticeSource interface {
	Notices() []notice.Statement
	RestrictedRefusals() int
}

// noticeReporter implements admin.NoticeReporter. server is nil without the control role.
type noticeReporter struct {
	noticeSource
	server *permits.Server
}

// PermitUsage returns how the limits are used, and false if this host does not lead.
func (r noticeReporter) PermitUsage() ([]ratelimit.Usage, bool) {
	if r.server == nil {
		return nil, false
	}
	return r.server.Usage()
}
