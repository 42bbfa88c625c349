// Package residency decides which models and adapters the backend servers of a
// service hold, and accounts for every order that a server may still execute.
// It performs no I/O and reads no clock.
//
// Backend servers number the orders that they accept. Every order names the
// number of accepted orders that it expects, and a server rejects an order with
// another number. So at most one of the orders sent with the same number is
// executed, however late its copies arrive, and the memory of a server is never
// overcommitted even if answers are lost.
package residency

import (
	"time"

	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/core/route"
)

// Target is a model, or an adapter of it if Adapter is set.
type Target struct{ Model, Adapter string }

// HeldModel is a model that a server lists in an announcement or a report, with
// the adapters that are loaded for it.
type HeldModel struct {
	Model    string
	Adapters []string
}

// Server is a backend server, as it announced itself last.
type Server struct {
	Name, Service, Address, DataCentre string
	// SoftwareVersion is the version of the server's software.
	SoftwareVersion string
	// Incarnation distinguishes processes with the same name. It is the Unix
	// time of the process start in milliseconds.
	Incarnation uint64
	// Sequence numbers the announcements of an incarnation.
	Sequence uint64
	// Leaving and Silent servers receive no orders.
	Leaving bool
	Silent  bool
	// Limited is set if the server names a limit on requests, and RequestsPerSecond is
	// what it takes from all hosts together.
	Limited           bool
	RequestsPerSecond float64
	Models            []HeldModel
	// InMemory and OnDisk are the models whose weights the server keeps in
	// addition to the loaded models.
	InMemory, OnDisk []string
}

// Demand is the demand for a target on one host. Arrivals is the number of
// requests since the start of the host's process.
type Demand struct {
	Host string
	Target
	Waiting, Running int
	Arrivals         uint64
	// EarliestExpiry is when the first of the waiting callers gives up.
	EarliestExpiry time.Duration
	// RunningOn counts the running requests by server.
	RunningOn map[string]int
	// Bound are the waiting requests that resume a stream, by the software version that
	// began it. Only its servers can serve them.
	Bound []origin.BoundDemand
}

// Input holds everything that a planning step depends on.
type Input struct {
	Now time.Duration
	// Fence is the leader's fencing number.
	Fence    uint64
	Servers  []Server
	Demand   []Demand
	Services []route.Service
	// SuspendOrders stops the planning of orders. Inquiries are still made.
	SuspendOrders bool
}

// Order requests that a server load or unload a model, or an adapter if one is
// named.
type Order struct {
	Server, Address string
	Incarnation     uint64
	Load            bool
	Target
	// ExpectedOrders is the number of orders that the server must have accepted
	// before this one.
	ExpectedOrders uint64
	Fence          uint64
	// Reason is set for orders for models.
	Reason OrderReason
}

// OrderReason is the reason for an order for a model. An unload that frees
// memory carries the reason of the load that needs the memory.
type OrderReason struct {
	// LoadModel is the model whose load caused the order.
	LoadModel string
	// Source is where the server has the weights of that model: memory, disk
	// or store.
	Source string
	// Gain and Loss are in requests per second that are served in time.
	Gain, Loss float64
	// OtherReplicas is the number of other replicas of the model, and Waiting the
	// number of requests that wait for it.
	OtherReplicas, Waiting int
	// BoundVersion is set if the load serves requests that only servers of this software
	// version can serve.
	BoundVersion string
}

// LoadEnd describes a completed load, with its actual and its predicted duration.
type LoadEnd struct {
	Server, Model                    string
	ActualDuration, ExpectedDuration time.Duration
	// StoreLoads is the number of loads from the weight store that were under way when
	// this one began, including it. It is zero for another kind of load.
	StoreLoads int
}

// LoadCrash describes a server process that ended while it loaded a model.
type LoadCrash struct {
	Server, Model string
	// Ends is the number of processes in a row that did, and HeldFor how long the model is
	// not loaded again, if it is held back.
	Ends    int
	HeldFor time.Duration
}

// Result is the outcome of an order's transmission.
type Result int

// Results of a transmission.
const (
	// Unanswered: the order may have been accepted, or may still be accepted
	// later.
	Unanswered Result = iota
	// Accepted: the order is being carried out.
	Accepted
	// Fulfilled: the order changes nothing, or an adapter was unloaded at
	// once.
	Fulfilled
	// Conflict: another order is under way, or the expected number of orders
	// differs.
	Conflict
	// Fenced: the server has accepted an order with a higher fencing number
	// from another leader.
	Fenced
	// Rejected: the server will never execute the order.
	Rejected
	// NotSent: no byte of the order reached the server.
	NotSent
)

func (r Result) String() string {
	return [...]string{"unanswered", "accepted", "fulfilled", "conflict", "fenced", "rejected", "not_sent"}[r]
}

// Inquiry requests a report from a server.
type Inquiry struct {
	Server, Address string
	Incarnation     uint64
}

// Report is a server's answer to an inquiry. It may be slightly out of date.
type Report struct {
	// AcceptedOrders is the number of orders that the server has accepted.
	AcceptedOrders uint64
	// Busy is set while an order for a model is under way.
	Busy   bool
	Models []HeldModel
	// LoadingAdapters are adapters that are being loaded.
	LoadingAdapters []Target
}

// Output is the result of a planning step.
type Output struct {
	Orders    []Order
	Inquiries []Inquiry
	// LoadEnds are the loads that have ended since the previous step.
	LoadEnds []LoadEnd
	// LoadCrashes are the server processes that ended during a load since then.
	LoadCrashes []LoadCrash
}

// Phase is the state of a holding.
type Phase int

// Phases of a holding.
const (
	// Loading: the load was ordered and is not confirmed.
	Loading Phase = iota
	// Ready: requests may be sent to it.
	Ready
	// Unloading: the unload was ordered. Requests would be refused.
	Unloading
)

// Holding is a target on a server, as the leader knows it.
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
