package state

// claimKey returns the key of the Claims map. Each caller has its own namespace of
// idempotency keys.
func claimKey(caller, key string) string { return caller + "\x00" + key }

// claim grants the execution of a non-idempotent request to one holder. A resend
// gets the recorded outcome or a rejection, never a second grant.
func (s *State) claim(c Claim) Result {
	if c.CreatedMS < max(s.ClockMS-s.retentionMS(), s.ExpiredMS) {
		return reject(CodeKeyExpired, "key is older than the retention of %d ms", s.retentionMS())
	}
	if c.CreatedMS > s.ClockMS+maxKeyAheadMS {
		return reject(CodeInvalid, "key was created more than %d ms in the future", maxKeyAheadMS)
	}
	id := claimKey(c.Caller, c.Key)
	old, ok := s.Claims[id]
	switch {
	case !ok:
		s.Claims[id] = ClaimRecord{Claim: c}
		return Result{}
	case old.Fingerprint != c.Fingerprint:
		return reject(CodeKeyReused, "key was used for another request")
	case old.Outcome == nil && old.Holder == c.Holder && old.Nonce == c.Nonce && c.Nonce != 0:
		// The holder proposed the same claim again because it did not receive the
		// first result.
		return Result{}
	case old.Outcome == nil && old.ExpiresMS != 0 && s.ClockMS > old.ExpiresMS:
		return reject(CodeOutcomeUnknown, "host %s did not record an outcome", old.Holder.Host)
	case old.Outcome == nil:
		return reject(CodeClaimHeld, "request is being executed by host %s", old.Holder.Host)
	case old.Outcome.Unknown:
		return reject(CodeOutcomeUnknown, "request was started and its outcome is unknown")
	}
	return Result{Outcome: old.Outcome}
}

// outcome records the result of a claimed request. Only the first outcome with the
// holder and nonce of the claim is accepted. When the process of the holder has ended,
// another host may propose an unknown outcome in the holder's name, without a nonce.
func (s *State) outcome(o Outcome) Result {
	id := claimKey(o.Caller, o.Key)
	rec, ok := s.Claims[id]
	if !ok || rec.Holder != o.Holder {
		return reject(CodeStale, "claim is not held by host %s", o.Holder.Host)
	}
	// A delayed release of an earlier claim must not end a later one of the same
	// holder, because the request could then run twice.
	if rec.Nonce != o.Nonce && (!o.Unknown || o.Nonce != 0) {
		return reject(CodeStale, "outcome is of an earlier claim")
	}
	if rec.Outcome != nil {
		return reject(CodeStale, "outcome is already recorded")
	}
	if o.NotRun {
		delete(s.Claims, id)
		return Result{}
	}
	rec.Outcome = &o
	s.Claims[id] = rec
	return Result{}
}

// defaultClaimRetentionMS is the claim retention in milliseconds while no
// configuration sets one.
const defaultClaimRetentionMS = 24 * 60 * 60 * 1000

// maxKeyAheadMS is the maximum time by which the creation time of a key may be ahead
// of the state's clock, in milliseconds. Callers' clocks may be ahead, but a claim on
// a key from far in the future would in effect never expire.
const maxKeyAheadMS = 10 * 60 * 1000

// retentionMS returns the configured claim retention in milliseconds, or the default.
func (s *State) retentionMS() int64 {
	if r := s.Config.Deployment.ClaimRetentionSeconds; r > 0 {
		return int64(r) * 1000
	}
	return defaultClaimRetentionMS
}

// expireClaims removes the claims whose keys are older than the retention. Such
// keys are rejected as expired.
func (s *State) expireClaims() {
	limit := s.ClockMS - s.retentionMS()
	if limit <= s.ExpiredMS {
		return
	}
	s.ExpiredMS = limit
	for id, rec := range s.Claims {
		if rec.CreatedMS < limit {
			delete(s.Claims, id)
		}
	}
}
