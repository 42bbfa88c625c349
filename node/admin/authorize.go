package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// HashKey returns the form in which configurations and settings hold a key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// authorize lets only operators pass.
func (a *API) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !a.parts.Ready() {
			return refuse(c, http.StatusServiceUnavailable, Refusal{
				Code: CodeUnavailable, RetryAfterMS: retryAfterMS, Reason: "this host is still catching up with the deployment",
			})
		}
		key, found := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !found || key == "" {
			c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
			return refuse(c, http.StatusUnauthorized, Refusal{Code: CodeUnauthorized, Reason: "the request carries no key"})
		}
		hash := HashKey(key)
		role, known := a.role(hash)
		if !known && equal(hash, a.parts.BootstrapKeySHA256) && c.Request().Method == http.MethodPost && c.Path() == Prefix+"/configuration" {
			return a.resendFirst(c)
		}
		if !known {
			c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
			return refuse(c, http.StatusUnauthorized, Refusal{Code: CodeUnauthorized, Reason: "the key is not known"})
		}
		if role != config.RoleOperator {
			return refuse(c, http.StatusForbidden, Refusal{Code: CodeForbidden, Reason: "the key is not an operator's"})
		}
		return next(c)
	}
}

// resendFirst answers a resend of the change that made version 1. Its sender has
// only the bootstrap key, which ended with that change, and may not know yet that
// it was applied. Nothing else is done for this key.
func (a *API) resendFirst(c echo.Context) error {
	req, err := decodeApply(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	first := false
	if err == nil {
		change := a.change(req)
		a.parts.Replica.View(func(s *state.State) {
			accepted, ok := s.FindAccepted(change)
			first = ok && accepted.Version == 1
		})
	}
	if !first {
		return refuse(c, http.StatusUnauthorized, Refusal{
			Code: CodeUnauthorized, Reason: "the bootstrap key ended with the first configuration; use an operator's key",
		})
	}
	return c.JSON(http.StatusOK, ApplyAnswer{ChangeID: req.ChangeID, Version: 1})
}

// role returns the role of the key with the given hash. The bootstrap key ends
// with the first configuration.
func (a *API) role(hash string) (role config.Role, known bool) {
	a.parts.Replica.View(func(s *state.State) {
		if s.Config.Version == 0 {
			role, known = config.RoleOperator, equal(hash, a.parts.BootstrapKeySHA256)
			return
		}
		for _, caller := range s.Config.Callers {
			if equal(hash, caller.KeySHA256) {
				role, known = caller.Role, true
			}
		}
	})
	return role, known
}

func equal(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }
