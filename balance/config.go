package balance

import "time"

// Repeatability says whether a request of a class may run twice.
type Repeatability uint8

// Repeatabilities of a class. The zero value is the strictest.
const (
	NonIdempotent  Repeatability = iota // must never run twice
	IdempotencyKey                      // a group of endpoints drops repeats for the class's KeyWindow
	Idempotent                          // may be repeated freely
)

// KeyScope is the group of endpoints that drop the repeats of a request with an idempotency key.
type KeyScope uint8

// Scopes of an idempotency key. The zero value is the narrowest.
const (
	KeyScopeCell KeyScope = iota // endpoints of the same cell
	KeyScopeZone                 // endpoints of the same zone
	KeyScopeAll                  // every endpoint
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer within this time earns the full priority weight
	ObjectiveStretch float64       // the objective grows by this multiple of the request's work
	Deadline         time.Duration // total time that the client waits, over all its own attempts
	Repeatability    Repeatability
	KeyScope         KeyScope      // for IdempotencyKey
	KeyWindow        time.Duration // for IdempotencyKey: how long repeats are dropped
	LateValue        float64       // fraction of the weight that an answer after the objective earns
	PriorityWeight   float64       // value of one request
	Stream           bool          // the answer is streamed
}

// Tenant describes one tenant and its quota.
type Tenant struct {
	QuotaPerSecond float64 // requests a second within the quota, over all nodes together; 0: no quota
	Share          float64 // the tenant's fraction of the service
}

// Limits holds the permissions and the limits that a site sets.
type Limits struct {
	Cancellation   bool          // CancelAttempt is permitted
	HealthChecks   bool          // HealthCheck is permitted
	Gossip         bool          // SendToPeer is permitted
	HedgedRequests bool          // two attempts of one request may be pending at the same time
	RetryAfter     bool          // clients receive the RetryAfter of a Reject
	MaxAttempts    int           // attempts per request; 0 means 1
	MaxRetryAfter  time.Duration // the longest RetryAfter that a client obeys; 0: unknown
	ConnectTimeout time.Duration // a connection that is not established within this time has failed
	IdleClose      time.Duration // endpoints close a connection that has been idle for this long
	StreamsPerConn int           // attempts that one connection carries at the same time
	MaxOpen        int           // requests open at the same time; requests beyond it never reach the node
	CPUPerSecond   time.Duration // CPU time that the node may use in a second; 0: unknown
	CPUPerRequest  time.Duration // CPU time for a request and its outcomes; 0: no limit
}

// Prices are the points that the site deducts from its result, each for one unit of the ratio in its comment.
type Prices struct {
	CrossZone   float64 // one attempt in another zone, per request
	Waste       float64 // endpoint work that produces no answer, per work offered
	LateFail    float64 // value not served within its latency objective, per value offered
	HealthCheck float64 // one health check per request
	Peer        float64 // one full message to a peer per request
	Handshake   float64 // one new connection per request
	Connection  float64 // open connections over 100 x endpoints
	Discovery   float64 // list entries sent over 100 x requests
}

// Rules holds the parameters of the rules that a node must follow by itself.
type Rules struct {
	AnswerGrace       time.Duration // a final answer is valid for this long after the deadline
	DrainGrace        time.Duration // an endpoint gets nothing new this long after a list shows it as draining
	PollInterval      time.Duration // how long a list may be used without a subscription; 0: defaultPollInterval
	SlowStartFraction float64       // an endpoint starts with at least this fraction of its capacity
	SlowStartDuration time.Duration // an endpoint has its full capacity after this time at the latest
	OverloadMultiple  float64       // load above this multiple of its present capacity is an overload
	OverloadWindow    time.Duration // an overload of this duration makes an endpoint in slow start fail
}

// LoadReportSource says in which results endpoints report their load.
type LoadReportSource uint8

// Sources of load reports.
const (
	NoLoadReports          LoadReportSource = iota
	HealthCheckLoadReports                  // only in the results of health checks
	InlineLoadReports                       // also in the outcomes of attempts
)

// WeightKind is the meaning of Endpoint.Weight.
type WeightKind uint8

// Kinds of weight.
const (
	NoWeights      WeightKind = iota
	NominalWeights            // the registered size
	RoughWeights              // the approximate size
	LiveWeights               // the size divided by the load, somewhat stale
)

// Goal holds the weights of the parts that make up the site's result.
type Goal struct {
	EntireDay   float64 // the entire day
	WorstClass  float64 // the class with the worst service
	WorstTenant float64 // the tenant with the worst service
	WorstWindow float64 // the period with the worst service
}

// Config holds the settings that a node has at its start. Zero values are safe defaults: they permit nothing that needs
// a permission, and a class is NonIdempotent.
//
// Config has all settings that a site gives. No rule reads these settings yet: Class.ObjectiveStretch, LateValue and
// Stream; Tenant.Share; Limits.Cancellation, Gossip, HedgedRequests, StreamsPerConn, MaxOpen, CPUPerSecond and
// CPUPerRequest; all Prices except CrossZone and HealthCheck; Rules.AnswerGrace; WarmKeys, ClientsMarkRetries, Weights,
// Goal, LoadFields, PassesDeadline and Stage.
type Config struct {
	Index              int // index of this instance among all instances
	Instances          int // number of instances; 0 means 1
	Zone               int // zone of this instance
	Classes            []Class
	Tenants            []Tenant
	OverQuotaValue     float64 // value of a request beyond its tenant's quota, as a fraction of its usual value
	PriorityPerWork    bool    // priority weights count per unit of work, not per request
	WarmKeys           bool    // an endpoint that has recently served a routing key needs less work for it
	ClientsMarkRetries bool    // clients mark their retries
	PollDiscovery      bool    // the list arrives only after WatchEndpoints or FetchEndpoints
	LoadReports        LoadReportSource
	Weights            WeightKind
	Limits             Limits
	Prices             Prices
	Rules              Rules
	Goal               Goal
	LoadFields         LoadField     // the values that load reports carry
	PassesDeadline     bool          // endpoints pass on the time left when they call the next tier
	Stage              int           // the tier to which this node sends requests
	Tick               time.Duration // minimum time between two rounds of events
}
