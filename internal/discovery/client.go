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

// Config configures a Client. OnList and OnFailure are called by Run's goroutine, one at a time.
type Config struct {
	Address     string   // host and port of discovery, or of the first replica to call
	Replicas    []string // all replicas of a replicated registry, in failover order; nil if discovery is not replicated
	Settings    siteconfig.Settings
	InitialList List              // the list held at the start; if it has members, the client watches from its revision
	Transport   http.RoundTripper // nil means TCP
	Log         *slog.Logger

	OnList    func(List)                              // receives each list
	OnFailure func()                                  // is called after each failed call
	OnCall    func(duration time.Duration, err error) // is called after each call, from any goroutine; may be nil
}

// Client passes the endpoint list and its changes to the caller. NewClient creates a Client, and Run makes its calls.
// The other methods may be called from any goroutine.
type Client struct {
	settings   siteconfig.Settings
	httpClient *http.Client
	log        *slog.Logger
	onList     func(List)
	onFailure  func()
	onCall     func(time.Duration, error)
	callCount  atomic.Int64 // calls since the last TakeCallCount

	watchWait       time.Duration // how long discovery may hold a watch open
	fullListTimeout time.Duration

	// All replicas of a registry use the same revision numbers. A watch therefore continues at the next replica from
	// the revision held, and a list with a lower revision than the one held is rejected.
	replicas []string

	// requests queues the calls that the balancer asks for. It is nil where lists are pushed.
	requests chan balance.ActionKind

	position position // used by Run's goroutine only

	mu             sync.Mutex
	address        string
	url            string
	addressChanged chan struct{} // closed and replaced when url changes
}

// position says how far the client has read the list.
type position struct {
	resumable    bool   // all changes up to revision have been received, so a watch may continue from revision
	revision     int64  // of the last list received
	url          string // from which the list is read
	listReceived bool   // whether discovery has sent a list since NewClient
}

// NewClient returns a Client. It makes no calls until Run is called.
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

// Run reads the list and its changes until ctx ends. Only one call of Run may be active at a time.
func (c *Client) Run(ctx context.Context) {
	defer c.httpClient.CloseIdleConnections()
	warnings := lograte.Limited{Log: c.log}
	delays := newBackoff(len(c.replicas))
	for ctx.Err() == nil {
		watch, wanted := c.awaitRequest(ctx)
		if !wanted {
			continue
		}
		received, err := c.follow(ctx, watch)
		if ctx.Err() != nil || err == nil {
			continue
		}
		warnings.Warn("discovery call failed; calling again later", "error", err)
		c.takeRequests() // requests made during the failed call count as failed too
		c.onFailure()
		c.useNextReplica()
		if c.polls() {
			continue // the balancer asks for the next call
		}
		if received {
			delays.reset()
		}
		c.sleep(ctx, delays.next())
	}
}

// TakeCallCount returns the number of calls to discovery since the last TakeCallCount, and resets the count.
func (c *Client) TakeCallCount() int64 { return c.callCount.Swap(0) }
