package backend

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/node/jsonbody"
	"github.com/pollenwheel/pollenwheel/node/memory"
)

// announcementLimit bounds the body of an announcement and of a cache report.
var announcementLimit = jsonbody.Limit{Bytes: 4 << 20, Parts: 200_000}

// AnnouncementError reports a field of an announcement or cache report that is not
// acceptable, and the allowed values.
type AnnouncementError struct {
	Field   string `json:"field"`
	Allowed string `json:"allowed"`
}

func (e *AnnouncementError) Error() string {
	return "announcement: " + e.Field + " must be " + e.Allowed
}

// AnnouncementAnswer lists the hosts to which a backend server announces itself.
type AnnouncementAnswer struct {
	Hosts []string `json:"hosts"`
	// KeepSeconds is how long the server may use the list.
	KeepSeconds int `json:"keep_seconds"`
}

// readAnnouncement reads and decodes the body of a request, which must be released.
func readAnnouncement(c echo.Context, account *memory.Account, into any) (*jsonbody.Document, error) {
	document, err := jsonbody.Read(c.Response(), c.Request(), account, announcementLimit)
	if err == nil {
		err = json.Unmarshal(document.Data, into)
	}
	return document, err
}

// answerBadBody answers a request whose body cannot be taken. allowed describes the body.
func answerBadBody(c echo.Context, err error, allowed string) error {
	if noMemory := (*memory.RequestsError)(nil); errors.As(err, &noMemory) {
		c.Response().Header().Set(echo.HeaderConnection, "close")
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusBadRequest, &AnnouncementError{Field: "body", Allowed: allowed})
}

// AnnounceHandler serves POST /v1/backend/announce. It passes valid announcements
// to accept and answers them with the result of answer. The bodies count for account.
func AnnounceHandler(account *memory.Account, accept func(membership.Server), answer func() AnnouncementAnswer) echo.HandlerFunc {
	return func(c echo.Context) error {
		var s membership.Server
		document, err := readAnnouncement(c, account, &s)
		defer document.Release()
		if err != nil {
			return answerBadBody(c, err, "a JSON announcement")
		}
		if err := checkAnnouncement(s); err != nil {
			return c.JSON(http.StatusBadRequest, err)
		}
		accept(s)
		return c.JSON(http.StatusOK, answer())
	}
}
