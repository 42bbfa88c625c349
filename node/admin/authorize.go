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

// HashKey returns the SHA-256 of a key in lower-case hexadecimal, the form in which
// configurations and settings store keys.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// authorize is middleware that admits only requests with an operator's key. The
// bootstrap key counts as an operator's key until the first configuration is
// applied.
func (a *API) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !a.deps.CaughtUp() {
			return refuse(c, http.StatusServiceUnavailable, Refusal{
				Code: CodeUnavailable, RetryAfterMS: retryAfterMS, Reason: "this host has not yet caught up with the replicated state since its start",
			})
		}
		key, found := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !found || key == "" {
			c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
			return refuse(c, http.StatusUnauthorized, Refusal{Code: CodeUnauthorized, Reason: "the request has no key; the header Authorization must be Bearer and a key"})
		}
		hash := HashKey(key)
		role, known := a.role(hash)
		if !known && equalHashes(hash, a.deps.BootstrapKeySHA256) && c.Request().Method == http.MethodPost && c.Path() == RoutePrefix+"/configuration" {
			return a.answerFirstResend(c)
		}
		if !known {
			c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
			return refuse(c, http.StatusUnauthorized, Refusal{Code: CodeUnauthorized, Reason: "the key is not known"})
		}
		if role != config.RoleOperator {
			return refuse(c, http.StatusForbidden, Refusal{Code: CodeForbidden, Reason: "the key does not have the role operator"})
		}
		return next(c)
	}
}

// answerFirstResend answers a resend of the change that created version 1. The
// sender has only the bootstrap key, which that change made invalid, and may not
// know yet that the change was applied. All other requests with the bootstrap key
// are refused.
func (a *API) answerFirstResend(c echo.Context) error {
	req, err := decodeApply(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	isFirst := false
	if err == nil {
		change := a.configureCommand(req)
		a.deps.Replica.View(func(s *state.State) {
			accepted, ok := s.FindAccepted(change)
			isFirst = ok && accepted.Version == 1
		})
	}
	if !isFirst {
		return refuse(c, http.StatusUnauthorized, Refusal{
			Code: CodeUnauthorized, Reason: "the bootstrap key ended with the first configuration; use an operator's key",
		})
	}
	return c.JSON(http.StatusOK, ApplyAnswer{ChangeID: req.ChangeID, Version: 1})
}

// role returns the role of the key with the given hash, and whether the key is
// known. The bootstrap key is known only until the first configuration is applied.
func (a *API) role(hash string) (role config.Role, known bool) {
	a.deps.Replica.View(func(s *state.State) {
		if s.Config.Version == 0 {
			role, known = config.RoleOperator, equalHashes(hash, a.deps.BootstrapKeySHA256)
			return
		}
		for _, caller := range s.Config.Callers {
			if equalHashes(hash, caller.KeySHA256) {
				role, known = caller.Role, true
			}
		}
	})
	return role, known
}

// equalHashes reports whether two hashes are equal. It compares in constant time,
// so that the duration does not reveal how much of a hash is right.
func equalHashes(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }
