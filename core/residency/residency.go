// Package residency decides which models and adapters the backend servers of a
// service hold, and accounts for every order that a server may still execute.
// It performs no I/O and reads no clock.
//
// It serves backend servers that number the orders they accept and take the
// expected number with an order. Because every order names that number, at most
// one of the orders that were sent with it is ever executed, however late its
// copies arrive. So the memory of a server is never overcommitted although
// answers are lost.
package residency

import (
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

// Target is a model, or an adapter of it.
type Target struct{ Model, Adapter string }

// Held is a model on a server with the adapters that are loaded for it.
type Held struct {
	Model    string
	Adapters []string
}

// Server is a backend server as it announces itself.
type Server struct {
	Name, Service, Address, DataCentre string
	// Incarnation tells the processes under one name apart. It is the Unix time
	// of the start in milliseconds.
	Incarnation uint64
	// Sequence numbers the announcements of an incarnation.
	Sequence uint64
	// Leaving servers receive no orders.
	Leaving bool
	Silent  bool
	Models  []Held
	// InMemory and OnDisk are the models whose weights the server keeps besides
	// those it holds.
	InMemory, OnDisk []string
}

// Demand is what one host reports for a target. Arrivals counts since the
// start of the host's process.
type Demand struct {
	Host string
	Target
	Waiting, Running int
	Arrivals         uint64
	// Leaves is when the first of the waiting callers gives up.
	Leaves time.Duration
	// RunningOn counts the running requests by server.
	RunningOn map[string]int
}

// Input is what a step depends on.
type Input struct {
	Now time.Duration
	// Fence is the leader's fencing number.
	Fence    uint64
	Servers  []Server
	Demand   []Demand
	Services []route.Service
	// Hold forbids orders. Inquiries are made all the same.
	Hold bool
}

// Order asks a server to load or unload a model, or an adapter if one is named.
type Order struct {
	Server, Address string
	Incarnation     uint64
	Load            bool
	Target
	// Expected is the number of orders that the server must have accepted.
	Expected uint64
	Fence    uint64
	// Why is set for models.
	Why Why
}

// Why is what decided an order for a model. An unload that makes room carries
// that of the load.
type Why struct {
	// For is the model that the order is for.
	For string
	// Source is where the server has the weights: memory, disk or store.
	Source string
	// Gain and Loss are in requests a second that are served in time.
	Gain, Loss float64
	// Copies is the number of other copies.
	Copies, Waiting int
}

// LoadEnd tells that a load has ended.
type LoadEnd struct {
	Server, Model  string
	Took, Expected time.Duration
}

// Result is how the transmission of an order ended.
type Result int

// Results.
const (
	// Unanswered: the order may have been accepted, or may be later.
	Unanswered Result = iota
	// Accepted: the order is being carried out.
	Accepted
	// Fulfilled: what the order asks for already holds.
	Fulfilled
	// Conflict: another order is under way, or the expected number differs.
	Conflict
	// Fenced: another leader has given orders with a higher fencing number.
	Fenced
	// Rejected: the server will never execute the order.
	Rejected
	// NotSent: no byte of the order reached the server.
	NotSent
)

func (r Result) String() string {
	return [...]string{"unanswered", "accepted", "fulfilled", "conflict", "fenced", "rejected", "not_sent"}[r]
}

// Inquiry asks a server for a report.
type Inquiry struct {
	Server, Address string
	Incarnation     uint64
}

// Report is a server's answer to an inquiry. It lags.
type Report struct {
	// Orders is the number of orders that the server has accepted.
	Orders uint64
	// Busy is set while an order for a model is under way.
	Busy   bool
	Models []Held
	// Incoming are adapters on their way to the server.
	Incoming []Target
}

// Output is what a step asks for.
type Output struct {
	Orders    []Order
	Inquiries []Inquiry
	// Ends are the loads that have ended since the step before.
	Ends []LoadEnd
}

// Phase is the state of a holding.
type Phase int

// Phases.
const (
	// Loading: the load was ordered and is not confirmed.
	Loading Phase = iota
	// Ready: requests may be sent.
	Ready
	// Unloading: the unload was ordered. Requests would be refused.
	Unloading
)

// Holding is a target on a server as the leader knows it.
type Holding struct {
	Target
	Phase Phase
	// ReadyAt is the predicted end of a load.
	ReadyAt time.Duration
}

// ServerHoldings are the holdings of one server process.
type ServerHoldings struct {
	Server      string
	Incarnation uint64
	Holdings    []Holding
}
