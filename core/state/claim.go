package state

// claimKey scopes an idempotency key to its caller.
func claimKey(caller, key string) string { return caller + "\x00" + key }

// claim grants the only execution of a non-idempotent request. A resend gets
// the recorded outcome or a refusal, never a second grant.
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
	case old.Outcome == nil:
		return reject(CodeClaimHeld, "request is being executed by host %s", old.Holder.Host)
	case old.Outcome.Unknown:
		return reject(CodeOutcomeUnknown, "request was started and its outcome is unknown")
	}
	return Result{Outcome: old.Outcome}
}

// outcome records the result of a claim. Only the holder's first outcome
// counts, except that an unknown outcome may be recorded for a holder whose
// process has ended.
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

// defaultClaimRetentionMS applies while no configuration sets a retention.
const defaultClaimRetentionMS = 24 * 60 * 60 * 1000

// maxKeyAheadMS bounds how far a caller's clock may be ahead, so that every
// claim expires.
const maxKeyAheadMS = 10 * 60 * 1000

func (s *State) retentionMS() int64 {
	if r := s.Config.Deployment.ClaimRetentionSeconds; r > 0 {
		return int64(r) * 1000
	}
	return defaultClaimRetentionMS
}

// expireClaims drops the claims whose keys would be refused as too old.
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
