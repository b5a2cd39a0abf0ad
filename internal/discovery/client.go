package discovery

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/lograte"
	"hitchvale/internal/siteconfig"
)

// Config is what a Client needs. OnList and OnFailure are called from Run's goroutine, one at a time.
type Config struct {
	Address     string   // of discovery, or of the replica to begin with
	Replicas    []string // every replica of a replicated registry, in the order of failover; nil: one discovery
	Settings    siteconfig.Settings
	InitialList List              // the list held at the start; a watch goes on from it if it has members
	Transport   http.RoundTripper // nil: TCP
	Log         *slog.Logger

	OnList    func(List)                          // receives each list
	OnFailure func()                              // is called when a call has failed
	OnCall    func(took time.Duration, err error) // receives the time of each call, from any goroutine; may be nil
}

// Client keeps its owner up to date with the endpoint list. NewClient makes one, Run does the work; the other methods
// may be called from any goroutine.
type Client struct {
	settings   siteconfig.Settings
	httpClient *http.Client
	log        *slog.Logger
	onList     func(List)
	onFailure  func()
	onCall     func(time.Duration, error)
	callCount  atomic.Int64 // since TakeCallCount

	watchWait       time.Duration // how long discovery may hold a watch open
	fullListTimeout time.Duration

	// The replicas of one registry number their lists alike. So a watch goes on from one to the next, and a list older
	// than the one held is refused.
	replicas []string

	// requests has the calls that the module asks for; nil where lists are pushed.
	requests chan balance.ActionKind

	position position // for Run's goroutine alone

	mu             sync.Mutex
	address        string
	url            string
	addressChanged chan struct{} // closed when url changes, and replaced
}

// position is how far the list has been read.
type position struct {
	resumable    bool  // nothing up to revision is missing: a watch may go on from there
	revision     int64 // of the last list
	url          string
	listReceived bool // since the start of the process
}

// NewClient returns a Client that Run starts.
func NewClient(cfg Config) *Client {
	c := &Client{
		settings:        cfg.Settings,
		httpClient:      newHTTPClient(cfg.Transport),
		log:             cfg.Log,
		onList:          cfg.OnList,
		onFailure:       cfg.OnFailure,
		onCall:          cfg.OnCall,
		watchWait:       pushWatchWait,
		fullListTimeout: defaultFullListTimeout,
		replicas:        cfg.Replicas,
		position:        position{resumable: len(cfg.InitialList.Members) > 0, revision: cfg.InitialList.Revision},
		address:         cfg.Address,
		url:             listURL(cfg.Address),
		addressChanged:  make(chan struct{}),
	}
	if cfg.Settings.Config.PollDiscovery {
		c.requests = make(chan balance.ActionKind, maxQueuedRequests)
		c.watchWait = pollWatchWait
	}
	return c
}

// Run reads the list and follows its changes until ctx ends.
func (c *Client) Run(ctx context.Context) {
	defer c.httpClient.CloseIdleConnections()
	complaints := lograte.Limited{Log: c.log}
	delays := newBackoff(len(c.replicas))
	for ctx.Err() == nil {
		watch, wanted := c.awaitRequest(ctx)
		if !wanted {
			continue
		}
		received, err := c.followAcrossMoves(ctx, watch)
		if ctx.Err() != nil || err == nil {
			continue
		}
		complaints.Warn("discovery call failed", "error", err)
		c.takeRequests() // those made during the call have failed with it
		c.onFailure()
		c.useNextReplica()
		if c.polls() {
			continue // the module says when to call again
		}
		if received {
			delays.reset()
		}
		c.sleep(ctx, delays.next())
	}
}

// TakeCallCount returns the number of calls since it was last called.
func (c *Client) TakeCallCount() int64 { return c.callCount.Swap(0) }
