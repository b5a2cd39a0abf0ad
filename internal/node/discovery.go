package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/lograte"
	"hitchvale/internal/siteconfig"
)

const (
	// A change counts as told 6 s after discovery had it and could be reached, whatever became of calls meanwhile. So no
	// call is waited for alone for longer than half of that: watchWait is how long a watch asks discovery to wait, and
	// longWait where each call costs discovery work. An answer that stays out for silentAfter beyond that is asked for
	// again, on a connection of its own: the first one may be broken, or stand in discovery's line, and keeps its place.
	pushWatchWait, pollWatchWait, silenceTimeout = 2 * time.Second, 3 * time.Second, time.Second
	// callSlack is how long an answer may take beyond its wait, and wholeWithin how long a whole list may take, which
	// is asked for again after wholeAfter. All nodes share one discovery that takes calls in turn: one that is given
	// up while it stands in line has cost its place all the same, and the next one waits behind it. So a node waits
	// for its turn, and where discovery is overbooked hears from it that it won't come.
	responseSlack, defaultFullListTimeout, fullListHedgeDelay = 2500 * time.Millisecond, 5 * time.Second, 3 * time.Second
	// dialWithin is how long connecting may take: that needs no turn.
	dialWithin = time.Second
	// watchGap is the longest time between two calls of a watch for which nothing can have been missed; it
	// stays below the 200 ms after which discovery ends one.
	maxWatchGap = 150 * time.Millisecond
	// The wait after a failed call doubles from retryLeast to retryMost.
	minBackoff, maxBackoff = 50 * time.Millisecond, time.Second
	// listMost bounds the text of a list.
	maxListBytes = 4 << 20
)

// discovery keeps the loop's list of backends up to date.
type Client struct {
	settings   siteconfig.Settings
	httpClient *http.Client
	log        *slog.Logger
	watchWait  time.Duration              // of a watch
	onList     func(List)                 // takes in a list
	onFailure  func()                     // a call failed
	onCall     func(time.Duration, error) // takes in each call's time and error; may be nil
	callCount  atomic.Int64               // since the loop last counted them

	// What is known, for run alone: a watch goes on from revision after. Else the whole list has to be read, which
	// costs discovery work for each line.
	resumable       bool
	revision        int64
	lastURL         string        // the URL that it was read at
	listReceived    bool          // since the start of the process; until then no call waits where lists are pushed
	fullListTimeout time.Duration // for a whole list

	// replicas are the addresses of a replicated registry, in the order they are tried; nil: one discovery. Its
	// replicas number their lists alike, so a watch goes on from one to the next and an older list is refused.
	replicas []string

	mu             sync.Mutex
	address        string
	url            string
	addressChanged chan struct{} // closed when url changes; then there is a new one

	// Where discovery is asked only on the module's behalf, its Watch, Unwatch and Fetch come here; nil where
	// lists are pushed, and the node follows on its own.
	requests chan balance.ActionKind
}

func NewClient(addr string, replicas []string, names siteconfig.Settings, log *slog.Logger, news func(List), lost func()) *Client {
	d := &Client{
		address: addr, replicas: replicas, url: registryURL(addr), addressChanged: make(chan struct{}), settings: names, log: log, watchWait: pushWatchWait, onList: news, onFailure: lost,
		fullListTimeout: defaultFullListTimeout,
		httpClient: &http.Client{
			Transport: &http.Transport{
				DialContext:            (&net.Dialer{Timeout: dialWithin}).DialContext,
				MaxIdleConnsPerHost:    1,
				MaxConnsPerHost:        4, // two calls, and dials that were given up
				IdleConnTimeout:        10 * time.Second,
				MaxResponseHeaderBytes: 16 << 10,
				DisableCompression:     true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	if names.Config.PollDiscovery {
		d.requests, d.watchWait = make(chan balance.ActionKind, 16), pollWatchWait
	}
	return d
}

func registryURL(addr string) string { return "http://" + addr + "/registry/instances" }

// move has discovery asked at another address from now on. A call that is under way at the old one is given up:
// nothing more is learned there.
func (d *Client) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if url := registryURL(addr); url != d.url {
		d.address, d.url = addr, url
		close(d.addressChanged)
		d.addressChanged = make(chan struct{})
	}
}

// nextReplica moves to the replica after the one asked, where there are replicas.
func (d *Client) useNextReplica() {
	if len(d.replicas) < 2 {
		return
	}
	d.mu.Lock()
	next := d.replicas[(slices.Index(d.replicas, d.address)+1)%len(d.replicas)]
	d.mu.Unlock()
	d.SetAddress(next)
}

// where tells at which URL discovery is now, and what is closed when it moves.
func (d *Client) location() (url string, moved <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.url, d.addressChanged
}

// ask passes on what the module wants of discovery. It never blocks.
func (d *Client) Request(kind balance.ActionKind) {
	select {
	case d.requests <- kind:
	default: // nobody listens where lists are pushed; elsewhere a call is under way
	}
}

// run follows discovery until ctx ends.
func (d *Client) Run(ctx context.Context) {
	defer d.httpClient.CloseIdleConnections()
	complain := lograte.Limited{Log: d.log}
	wait, failed := minBackoff, 0
	for ctx.Err() == nil {
		// Where discovery has moved, what it has to tell there counts as told soon, whenever the module would call.
		watch := true
		url, moved := d.location()
		if d.requests != nil && (d.lastURL == "" || d.lastURL == url || d.replicas != nil) {
			select {
			case <-ctx.Done():
				return
			case <-moved:
			case kind := <-d.requests:
				if kind == balance.UnwatchEndpoints {
					continue
				}
				watch = kind == balance.WatchEndpoints
			}
		}
		heard, err := d.followAcrossMoves(ctx, watch)
		if ctx.Err() != nil || err == nil {
			continue
		}
		complain.Warn("discovery failed", "error", err)
		d.drainRequests() // what was asked for during the call has failed with it
		d.onFailure()
		d.useNextReplica()
		if d.requests != nil {
			continue // the module says when to call again
		}
		if heard {
			wait, failed = minBackoff, 0
		}
		// The next replica is asked soon: waiting is for when all have failed, or news would be late by a wait for each
		// replica that is down.
		if failed++; len(d.replicas) > 0 && failed%len(d.replicas) != 0 {
			d.sleep(ctx, minBackoff)
			continue
		}
		d.sleep(ctx, wait)
		wait = min(2*wait, maxBackoff)
	}
}

// rest waits, by half more or less, since nodes that lost discovery together must not come back to it in step. It ends
// when discovery has moved.
func (d *Client) sleep(ctx context.Context, wait time.Duration) {
	_, moved := d.location()
	t := time.NewTimer(wait/2 + rand.N(wait))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-moved:
	case <-t.C:
	}
}

// followMoves follows discovery from one address to the next until a call fails.
func (d *Client) followAcrossMoves(ctx context.Context, watch bool) (heard bool, err error) {
	for {
		url, moved := d.location()
		here, leave := context.WithCancel(ctx)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() {
			select {
			case <-moved:
				leave()
			case <-stop:
			}
		})
		h, err := d.follow(here, url, watch)
		close(stop)
		wg.Wait()
		left := here.Err() != nil
		leave()
		heard = heard || h
		if !left || ctx.Err() != nil {
			return heard, err
		}
		d.httpClient.CloseIdleConnections()
	}
}

// follow reads the whole list, or goes on from the one that is known, and watches, if it is to, until a call fails.
func (d *Client) follow(ctx context.Context, url string, watch bool) (heard bool, err error) {
	if d.lastURL != "" && d.lastURL != url && d.replicas == nil { // replicas are of one registry: the watch goes on
		d.resumable = false // it may number its lists in another way there
		d.log.Info("discovery moved: reading the whole list there")
	}
	d.lastURL = url
	for ctx.Err() == nil {
		query, within := "", d.fullListTimeout
		if watch && d.resumable {
			wait := d.watchWait
			if d.requests == nil && !d.listReceived {
				wait = 0
			}
			query = fmt.Sprintf("?after=%d&wait_ms=%d", d.revision, wait.Milliseconds())
			within = d.watchWait + responseSlack
		}
		var list List
		switch {
		case len(d.replicas) > 1: // a silent one is left for the next
			list, err = d.get(ctx, url+query, within)
		case query == "":
			list, err = d.hedgedGet(ctx, url, url, fullListHedgeDelay, within)
		default:
			list, err = d.hedgedGet(ctx, url+query, fmt.Sprintf("%s?after=%d&wait_ms=0", url, d.revision), d.watchWait+silenceTimeout, within)
		}
		if errors.Is(err, ErrMalformed) {
			d.resumable = false // it told something that was missed
		}
		if err != nil {
			return heard, err
		}
		if query == "" && !list.Complete {
			return heard, errors.New("the whole list was asked for, and changes came")
		}
		if d.replicas != nil && d.resumable && list.Revision < d.revision {
			return heard, fmt.Errorf("revision %d from a replica behind the %d held", list.Revision, d.revision)
		}
		answered := time.Now()
		heard, d.listReceived = true, true
		d.onList(list)
		// When versions go back, or the watch has ended, what changed in between may be missing.
		d.resumable = list.Complete || list.Revision >= d.revision
		d.revision = list.Revision
		if !watch || d.drainRequests() {
			return true, nil
		}
		d.resumable = d.resumable && time.Since(answered) <= maxWatchGap
	}
	return heard, nil
}

// callTwice makes a call, and a second one beside it if the first has not been answered after so long. The first answer
// counts.
func (d *Client) hedgedGet(ctx context.Context, first, second string, after, within time.Duration) (List, error) {
	ctx, cancel := context.WithCancel(ctx)
	type answer struct {
		list List
		err  error
	}
	answers := make(chan answer, 2)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	open := 0
	start := func(url string, within time.Duration) {
		open++
		calls.Go(func() {
			list, err := d.get(ctx, url, within)
			answers <- answer{list, err}
		})
	}
	start(first, within)
	silent := time.NewTimer(after)
	defer silent.Stop()
	for {
		select {
		case a := <-answers:
			if open--; a.err == nil || open == 0 || errors.Is(a.err, ErrMalformed) {
				return a.list, a.err
			}
		case <-silent.C:
			d.log.Info("discovery silent: asking beside it", "url", second)
			start(second, responseSlack)
		}
	}
}

// unwatched takes in what the module has asked for meanwhile and tells whether it has ended its subscription.
func (d *Client) drainRequests() (ended bool) {
	for {
		select {
		case kind := <-d.requests:
			ended = kind == balance.UnwatchEndpoints
		default:
			return ended
		}
	}
}

func (d *Client) get(ctx context.Context, url string, within time.Duration) (list List, err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return List{}, err
	}
	d.callCount.Add(1)
	if d.onCall != nil {
		begun := time.Now()
		defer func() { d.onCall(time.Since(begun), err) }()
	}
	resp, err := d.httpClient.Do(req)
	if err != nil {
		return List{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	switch {
	case err != nil:
		return List{}, err
	case resp.StatusCode != http.StatusOK:
		return List{}, fmt.Errorf("status %d", resp.StatusCode)
	case len(text) > maxListBytes:
		return List{}, fmt.Errorf("%w: too long", ErrMalformed)
	}
	if list, err = ParseList(text, d.settings); err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return list, nil
}

// pause waits, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
