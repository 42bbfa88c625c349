package forward

const (
	// requestShare is the part of the connections of callers on which requests may be in progress,
	// and serviceShare that for the requests of one service. The requests of a service whose
	// servers do not answer then leave room for those of others, and for refusals.
	requestShare = 0.8
	serviceShare = 0.5
)

// admitRequest counts a request of a service as in progress. It returns false if there are too
// many.
func (f *Forwarder) admitRequest(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if most := float64(f.opts.MaxRequests); most > 0 {
		if float64(f.admittedSum) >= requestShare*most || float64(f.admitted[service]) >= serviceShare*most {
			return false
		}
	}
	f.admittedSum++
	f.admitted[service]++
	return true
}

// endRequest counts the end of a request that was admitted.
func (f *Forwarder) endRequest(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admittedSum--
	if f.admitted[service]--; f.admitted[service] == 0 {
		delete(f.admitted, service)
	}
}
