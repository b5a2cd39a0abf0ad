package lab

import (
	"maps"
	"slices"
	"strings"

	"hitchvale/internal/tomlfile"
)

// AbuseScenario adds clients that misuse their connections, or that are slow, to a load. They run beside the load's
// clients, which must not suffer from them.
type AbuseScenario struct {
	// Kinds are the kinds of clients. Each kind has Clients clients at each node.
	Kinds []abuseKind `toml:"kinds"`
	// Clients is the number of clients of each kind at each node.
	Clients int `toml:"clients"`
	// Descriptors is the nodes' limit of descriptors; 0: that of other loads.
	Descriptors int `toml:"descriptors"`
	// SharedCore runs all nodes on one processor.
	SharedCore bool `toml:"shared_core"`
	// Cores is the share of a processor that each node has; 0: a whole one.
	Cores float64 `toml:"cores"`
}

// abuseKind is what an abusive client does.
type abuseKind string

// The kinds of abusive clients. Those that end with "Fields" send heads of thousands of fields.
const (
	abuseUnendedFields abuseKind = "unended_fields"      // a head of very many short fields that does not end
	abuseEndedFields   abuseKind = "ended_fields"        // a complete head of very many short fields
	abuseSlowHead      abuseKind = "slow_head"           // a head that is written a byte at a time
	abuseHalfBody      abuseKind = "half_body"           // a body that stops half way
	abuseSlowBody      abuseKind = "slow_body"           // a long body at the slowest rate that a node has to serve
	abuseSlowReader    abuseKind = "slow_reader"         // a long response that is read slowly
	abuseStoppedReader abuseKind = "stopped_reader"      // long responses that are not read
	abuseUnreadAnswers abuseKind = "unread_answers"      // many responses that a node buffers and that are not read
	abuseFlood         abuseKind = "flood"               // requests one after another, each as soon as possible
	abuseBatchFlood    abuseKind = "batch_flood"         // the same in batches, each written at once
	abuseProbeFlood    abuseKind = "probe_flood"         // batches of health checks
	abuseUnsoundFlood  abuseKind = "unsound_flood"       // the same with malformed requests and names that are always new
	abusePipeline      abuseKind = "pipeline"            // many requests behind an open one
	abuseUnread        abuseKind = "unread_pipeline"     // many requests, and no response is read
	abuseLeavePipeline abuseKind = "leave_pipeline"      // many requests behind an open one, and then a close
	abuseReturn        abuseKind = "return"              // a request that comes again after its client has left
	abuseSlowAnswer    abuseKind = "slow_answer"         // lawful: the backend writes a long response slowly
	abuseSlowUnsized   abuseKind = "slow_unsized_answer" // lawful: the same, and the response has no length
	abuseSlowBackend   abuseKind = "slow_backend"        // lawful: the backend reads a long body slowly
)

// behaviors are the functions that run the clients of each kind. Each runs one client until it has ended a connection.
var behaviors = map[abuseKind]func(*abusiveClient){
	abuseUnendedFields: (*abusiveClient).sendUnendedFields,
	abuseEndedFields:   (*abusiveClient).sendEndedFields,
	abuseSlowHead:      (*abusiveClient).sendSlowHead,
	abuseHalfBody:      (*abusiveClient).sendHalfBody,
	abuseSlowBody:      (*abusiveClient).sendSlowBody,
	abuseSlowReader:    (*abusiveClient).readSlowly,
	abuseStoppedReader: (*abusiveClient).stopReading,
	abuseUnreadAnswers: (*abusiveClient).leaveAnswersUnread,
	abuseFlood:         (*abusiveClient).flood,
	abuseBatchFlood:    (*abusiveClient).floodInBatches,
	abuseProbeFlood:    (*abusiveClient).floodProbes,
	abuseUnsoundFlood:  (*abusiveClient).floodUnsound,
	abusePipeline:      (*abusiveClient).pipeline,
	abuseUnread:        (*abusiveClient).pipelineUnread,
	abuseLeavePipeline: (*abusiveClient).leavePipeline,
	abuseReturn:        (*abusiveClient).leaveAndReturn,
	abuseSlowAnswer:    (*abusiveClient).awaitSlowAnswer,
	abuseSlowUnsized:   (*abusiveClient).awaitSlowUnsizedAnswer,
	abuseSlowBackend:   (*abusiveClient).sendToSlowBackend,
}

// check returns the first invalid value, as an error that names its key.
func (abuse AbuseScenario) check() error {
	for _, kind := range abuse.Kinds {
		if behaviors[kind] == nil {
			return tomlfile.KeyErrorf("abuse.kinds", "%q is not a kind of abusive client; the kinds are %s", kind,
				strings.Join(abuseKindNames(), ", "))
		}
	}
	switch {
	case abuse.Cores < 0 || abuse.Cores > nodeCores:
		return tomlfile.KeyErrorf("abuse.cores", "%g is outside 0 to %d", abuse.Cores, nodeCores)
	case abuse.Clients < 0 || abuse.Clients > 2000:
		return tomlfile.KeyErrorf("abuse.clients", "%d is outside 0 to 2000", abuse.Clients)
	case abuse.Descriptors != 0 && (abuse.Descriptors < 64 || abuse.Descriptors > 1<<20):
		return tomlfile.KeyErrorf("abuse.descriptors", "%d is outside 64 to 1048576", abuse.Descriptors)
	}
	return nil
}

// abuseKindNames returns the names of all kinds, sorted.
func abuseKindNames() []string {
	var names []string
	for _, kind := range slices.Sorted(maps.Keys(behaviors)) {
		names = append(names, string(kind))
	}
	return names
}
