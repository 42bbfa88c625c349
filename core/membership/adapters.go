package membership

import (
	"maps"
	"slices"
	"time"
)

// adapterRefreshAnnouncements is the number of announcements of a server after which its adapters are
// sent to the control hosts again, also unchanged, in case that an earlier message was lost.
const adapterRefreshAnnouncements = 8

// withoutAdapters returns the reports about models only.
func withoutAdapters(list []ModelReport) []ModelReport {
	return slices.DeleteFunc(slices.Clone(list), func(r ModelReport) bool { return r.Adapter != "" })
}

// recordAdapters notes that the control hosts must be sent the adapters of an announcement that is no
// new state.
func (t *Table) recordAdapters(old, announced Server) {
	if !t.opts.AdaptersForControlOnly {
		return
	}
	if announced.Sequence%adapterRefreshAnnouncements == 0 || !slices.Equal(old.Models, announced.Models) {
		t.pendingAdapters[Key{KindServer, announced.Name}] = true
	}
}

// sendAdapters sends the records of the servers whose adapters have changed to the control hosts.
func (t *Table) sendAdapters(now time.Duration) {
	if len(t.pendingAdapters) == 0 {
		return
	}
	keys := slices.SortedFunc(maps.Keys(t.pendingAdapters), Key.compare)
	clear(t.pendingAdapters)
	for _, name := range slices.Sorted(maps.Keys(t.hosts)) {
		if h := t.hosts[name]; h.Control && !t.hostSilent(now, h) {
			t.sendRecords(h.PeerAddress, keys)
		}
	}
}
