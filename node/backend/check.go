package backend

import (
	"fmt"
	"math"
	"net/netip"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
)

// Limits of announcements and cache reports. Every host stores all announcements,
// so a single server must not be able to exhaust the memory of the hosts.
const (
	maxNameBytes   = 255
	maxReports     = 10_000
	maxCheckpoints = 10_000
	maxCacheEvents = 10_000
	// maxSequence is far above what a server reaches that numbers its announcements from
	// zero. After a higher number, sent by another writer, the server's own announcements
	// would count as older ones.
	maxSequence = 1 << 53
)

var (
	nameAllowed = fmt.Sprintf("1 to %d bytes long", maxNameBytes)
	textAllowed = fmt.Sprintf("at most %d bytes long", maxNameBytes)
	nonNegative = "0 or more"
)

// checkAnnouncement returns the first fault of an announcement, or nil.
func checkAnnouncement(s membership.Server) *AnnouncementError {
	if err := checkIdentity(s); err != nil {
		return err
	}
	switch {
	case s.MemoryMiB < 0:
		return &AnnouncementError{"memory_mib", nonNegative}
	case s.Accelerators < 0:
		return &AnnouncementError{"accelerators", nonNegative}
	case s.Load.Running < 0 || s.Load.Queued < 0 || s.Load.KVUsedMiB < 0:
		return &AnnouncementError{"load", nonNegative}
	case len(s.Models) > maxReports:
		return &AnnouncementError{"models", fmt.Sprintf("a list of at most %d", maxReports)}
	case len(s.Cached) > maxCheckpoints:
		return &AnnouncementError{"cached", fmt.Sprintf("a list of at most %d", maxCheckpoints)}
	}
	for i, r := range s.Models {
		if err := checkReport(fmt.Sprintf("models[%d]", i), r); err != nil {
			return err
		}
	}
	for i, c := range s.Cached {
		if err := checkCheckpoint(fmt.Sprintf("cached[%d]", i), c); err != nil {
			return err
		}
	}
	return nil
}

// checkIdentity returns the first fault of the fields that identify the server
// process, or nil.
func checkIdentity(s membership.Server) *AnnouncementError {
	switch {
	case !isName(s.Name):
		return &AnnouncementError{"name", nameAllowed}
	case !isName(s.Service):
		return &AnnouncementError{"service", nameAllowed}
	case s.Kind != config.KindEngine && s.Kind != config.KindPlain:
		return &AnnouncementError{"kind", "engine or plain"}
	case len(s.DataCentre) > maxNameBytes:
		return &AnnouncementError{"data_centre", textAllowed}
	case len(s.Engine) > maxNameBytes:
		return &AnnouncementError{"engine", textAllowed}
	case !isCanonicalAddress(s.Address):
		return &AnnouncementError{"address", "an IP address and port in canonical form"}
	case s.Incarnation == 0:
		return &AnnouncementError{"incarnation", "greater than 0"}
	case s.Sequence > maxSequence:
		return &AnnouncementError{"sequence", fmt.Sprintf("at most %d", uint64(maxSequence))}
	case len(s.SoftwareVersion) > maxNameBytes:
		return &AnnouncementError{"software_version", textAllowed}
	}
	return nil
}

// checkReport returns the first fault of a model report, or nil. Field is the path
// of the report in the announcement, such as models[0].
func checkReport(field string, r membership.ModelReport) *AnnouncementError {
	switch {
	case !isName(r.Model):
		return &AnnouncementError{field + ".model", nameAllowed}
	case len(r.Adapter) > maxNameBytes:
		return &AnnouncementError{field + ".adapter", textAllowed}
	case len(r.Version) > maxNameBytes:
		return &AnnouncementError{field + ".version", textAllowed}
	}
	switch r.Phase {
	case membership.ReportLoading, membership.ReportReady, membership.ReportUnloading, membership.ReportAbsent:
		return nil
	}
	return &AnnouncementError{field + ".phase", "loading, ready, unloading or absent"}
}

// checkCheckpoint returns the first fault of a cached checkpoint, or nil. Field is
// the path of the checkpoint in the announcement, such as cached[0].
func checkCheckpoint(field string, c membership.Checkpoint) *AnnouncementError {
	switch {
	case !isName(c.Model):
		return &AnnouncementError{field + ".model", nameAllowed}
	case len(c.Version) > maxNameBytes:
		return &AnnouncementError{field + ".version", textAllowed}
	}
	switch c.Tier {
	case membership.TierMemory, membership.TierDisk, membership.TierStore:
		return nil
	}
	return &AnnouncementError{field + ".tier", "memory, disk or store"}
}

// checkCacheReport returns the first fault of a cache report, or nil.
func checkCacheReport(r CacheReport) *AnnouncementError {
	switch {
	case !isName(r.Server):
		return &AnnouncementError{"server", nameAllowed}
	case r.Incarnation == 0:
		return &AnnouncementError{"incarnation", "greater than 0"}
	case len(r.Events) > maxCacheEvents:
		return &AnnouncementError{"events", fmt.Sprintf("a list of at most %d", maxCacheEvents)}
	case r.FirstEventNumber > math.MaxUint64-maxCacheEvents:
		return &AnnouncementError{"first", "small enough that the event numbers do not overflow"}
	}
	return nil
}

// isName reports whether s is not empty and not too long.
func isName(s string) bool { return s != "" && len(s) <= maxNameBytes }

// isCanonicalAddress reports whether s is a unicast IP address and port in canonical
// form. Only one spelling of each address is accepted, so that equal addresses are
// equal strings.
func isCanonicalAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.String() != s {
		return false
	}
	ip := a.Addr()
	return ip.Zone() == "" && !ip.Is4In6() && !ip.IsUnspecified() && !ip.IsMulticast()
}
