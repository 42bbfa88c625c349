package engine

import "sync"

// End is how an execution ended.
type End string

// Ends of an execution. An empty End means that it still runs.
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
	// Beside is the largest number of other requests that ran at the same time.
	Beside int
	End    End
}

// Journal records executions. It may be shared by engines and outlives their
// processes. It is safe for concurrent use.
type Journal struct {
	mu   sync.Mutex
	list []*Execution
}

func (j *Journal) begin(x Execution) *Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.list = append(j.list, &x)
	return &x
}

func (j *Journal) end(x *Execution, end End) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if x.End == "" {
		x.End = end
	}
}

func (j *Journal) beside(x *Execution, n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	x.Beside = max(x.Beside, n)
}

// Executions returns a copy of the record.
func (j *Journal) Executions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]Execution, len(j.list))
	for i, x := range j.list {
		out[i] = *x
	}
	return out
}
