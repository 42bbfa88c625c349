package engine

import "sync"

// End is the way in which an execution ended.
type End string

// Ends of an execution. An empty End means that the execution still runs.
const (
	EndComplete  End = "complete"
	EndCancelled End = "cancelled"
	EndCrashed   End = "crashed"
)

// Execution is one request that an engine admitted.
type Execution struct {
	Server      string
	Incarnation uint64
	Attempt     string
	Model       string
	Prompt      string
	// MaxConcurrentOthers is the largest number of other requests that ran at the same
	// time.
	MaxConcurrentOthers int
	End                 End
}

// Journal records executions. Several engines may share one journal, and it
// outlives their processes. It is safe for concurrent use.
type Journal struct {
	mu         sync.Mutex
	executions []*Execution
}

func (j *Journal) begin(x Execution) *Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions = append(j.executions, &x)
	return &x
}

// end records the end of an execution, unless it has ended already.
func (j *Journal) end(x *Execution, end End) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if x.End == "" {
		x.End = end
	}
}

// recordConcurrent records that n other requests run at the same time.
func (j *Journal) recordConcurrent(x *Execution, n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	x.MaxConcurrentOthers = max(x.MaxConcurrentOthers, n)
}

// Executions returns a copy of the recorded executions.
func (j *Journal) Executions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]Execution, len(j.executions))
	for i, x := range j.executions {
		out[i] = *x
	}
	return out
}
