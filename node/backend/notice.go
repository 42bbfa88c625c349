package backend

import (
	"net/http"

	"github.com/pollenwheel/pollenwheel/core/notice"
)

// NoticeOf returns what the head of an answer says of its server.
func NoticeOf(resp *http.Response) notice.Notice {
	h := resp.Header
	return notice.Read(notice.Fields{
		Limit:   notice.Field{Name: HeaderRequestLimit, Values: h.Values(HeaderRequestLimit)},
		Leaving: notice.Field{Name: HeaderLeaving, Values: h.Values(HeaderLeaving)},
		Pause:   notice.Field{Name: HeaderPause, Values: h.Values(HeaderPause)},
		Refused: resp.StatusCode == http.StatusServiceUnavailable,
	})
}
