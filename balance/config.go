package balance

import "time"

// Repeatability is what happens when a request of a class runs twice.
type Repeatability uint8

// Repeatabilities of a class. The zero value is the strictest.
const (
	NonIdempotent  Repeatability = iota // must never run twice
	IdempotencyKey                      // a group of endpoints drops repeats for a while
	Idempotent                          // may be repeated freely
)

// KeyScope is the group of endpoints that drops the repeats of a request with an idempotency key.
type KeyScope uint8

// Scopes of an idempotency key. The zero value is the narrowest.
const (
	KeyScopeCell KeyScope = iota // endpoints of the same cell
	KeyScopeZone                 // endpoints of the same zone
	KeyScopeAll                  // every endpoint
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer within this earns the full priority weight
	ObjectiveStretch float64       // the objective grows by this multiple of the request's own work
	Deadline         time.Duration // what the client waits in total, over all its own attempts
	Repeatability    Repeatability
	KeyScope         KeyScope      // for IdempotencyKey
	KeyWindow        time.Duration // for IdempotencyKey: how long repeats are dropped
	LateValue        float64       // fraction of the weight that an answer after the objective earns
	PriorityWeight   float64       // value of one request
	Stream           bool          // the answer is streamed
}

// Tenant describes one tenant and its quota.
type Tenant struct {
	QuotaPerSecond float64 // requests a second, over all nodes together, that lie within its quota; 0: no quota
	Share          float64 // its fraction of the service
}

// Limits is what the site permits.
type Limits struct {
	Cancellation   bool          // CancelAttempt is permitted
	HealthChecks   bool          // HealthCheck is permitted
	Gossip         bool          // SendToPeer is permitted
	HedgedRequests bool          // two attempts of one request may be pending at once
	RetryAfter     bool          // clients receive the RetryAfter of a Reject
	MaxAttempts    int           // attempts per request; 0 means 1
	MaxRetryAfter  time.Duration // the longest RetryAfter that a client heeds; 0: unknown
	ConnectTimeout time.Duration // a connection that is not up by then counts as failed
	IdleClose      time.Duration // endpoints close a connection that has been idle for this long
	StreamsPerConn int           // attempts that one connection carries at the same time
	MaxOpen        int           // requests open at once; more never reach the node
	CPUPerSecond   time.Duration // CPU that the node may use in a second; 0: unknown
	CPUPerRequest  time.Duration // CPU for a request with its outcomes; 0: no such limit
}

// Prices are points that the site takes off its result, each for one full unit.
type Prices struct {
	CrossZone   float64 // an attempt that crosses zones, per request
	Waste       float64 // endpoint work without an answer, per work offered
	LateFail    float64 // value left unserved after its latency objective, per value offered
	HealthCheck float64 // one health check per request
	Peer        float64 // one full message to a peer per request
	Handshake   float64 // one new connection per request
	Connection  float64 // open connections over 100 x endpoints
	Discovery   float64 // list entries sent over 100 x requests
}

// Rules holds the figures of the rules that a node keeps on its own.
type Rules struct {
	AnswerGrace       time.Duration // final answers are valid for this long past the deadline
	DrainGrace        time.Duration // nothing new goes to an endpoint this long after the list has it draining
	PollInterval      time.Duration // how long a list may be used without a subscription
	SlowStartFraction float64       // an endpoint starts with at least this fraction of its capacity
	SlowStartDuration time.Duration // and has all of it after this time at the latest
	OverloadMultiple  float64       // more than this multiple of its present capacity,
	OverloadWindow    time.Duration // for this time, brings an endpoint in slow start down
}

// LoadReportSource is where endpoints report their load.
type LoadReportSource uint8

// Sources of load reports.
const (
	NoLoadReports          LoadReportSource = iota
	HealthCheckLoadReports                  // in results of health checks only
	InlineLoadReports                       // in outcomes of attempts too
)

// WeightKind is the meaning of Endpoint.Weight.
type WeightKind uint8

// Kinds of weight.
const (
	NoWeights      WeightKind = iota
	NominalWeights            // registered size
	RoughWeights              // approximate size
	LiveWeights               // size over load, somewhat stale
)

// Goal holds the weights of the parts of the site's result.
type Goal struct {
	EntireDay   float64 // the entire day
	WorstClass  float64 // the class served least
	WorstTenant float64 // the tenant served least
	WorstWindow float64 // the worst stretch of time
}

// Config is what a node knows at its start. Zero values are safe defaults: no permission is assumed, and every class is
// taken as NonIdempotent.
//
// It has all settings that a site gives. No rule reads these yet: Class.ObjectiveStretch, LateValue and Stream;
// Tenant.Share; Limits.Cancellation, Gossip, HedgedRequests, StreamsPerConn, MaxOpen, CPUPerSecond and CPUPerRequest;
// all Prices but CrossZone and HealthCheck; Rules.AnswerGrace; WarmKeys, ClientsMarkRetries, Weights, Goal, LoadFields,
// PassesDeadline and Stage.
type Config struct {
	Index              int // index of this instance among its peers
	Instances          int // how many instances there are; 0 means 1
	Zone               int // zone of this instance
	Classes            []Class
	Tenants            []Tenant
	OverQuotaValue     float64 // value of a request beyond its tenant's quota, as a fraction of its class's
	PriorityPerWork    bool    // priority weights count for each unit of work, not for each request
	WarmKeys           bool    // an endpoint that has lately served a routing key needs less work for it
	ClientsMarkRetries bool    // clients mark their retries
	PollDiscovery      bool    // the list comes only after WatchEndpoints or FetchEndpoints
	LoadReports        LoadReportSource
	Weights            WeightKind
	Limits             Limits
	Prices             Prices
	Rules              Rules
	Goal               Goal
	LoadFields         LoadField     // values that load reports carry
	PassesDeadline     bool          // endpoints pass on the time left when they call the next tier
	Stage              int           // the tier that this node sends to
	Tick               time.Duration // least gap between two rounds of events
}
