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
	watchWait, longWait, silentAfter = 2 * time.Second, 3 * time.Second, time.Second
	// callSlack is how long an answer may take beyond its wait, and wholeWithin how long a whole list may take, which
	// is asked for again after wholeAfter. All nodes share one discovery that takes calls in turn: one that is given
	// up while it stands in line has cost its place all the same, and the next one waits behind it. So a node waits
	// for its turn, and where discovery is overbooked hears from it that it won't come.
	callSlack, wholeWithin, wholeAfter = 2500 * time.Millisecond, 5 * time.Second, 3 * time.Second
	// dialWithin is how long connecting may take: that needs no turn.
	dialWithin = time.Second
	// watchGap is the longest time between two calls of a watch for which nothing can have been missed; it
	// stays below the 200 ms after which discovery ends one.
	watchGap = 150 * time.Millisecond
	// The wait after a failed call doubles from retryLeast to retryMost.
	retryLeast, retryMost = 50 * time.Millisecond, time.Second
	// listMost bounds the text of a list.
	listMost = 4 << 20
)

// discovery keeps the loop's list of backends up to date.
type discovery struct {
	names siteconfig.Settings
	http  *http.Client
	log   *slog.Logger
	wait  time.Duration              // of a watch
	news  func(List)                 // takes in a list
	lost  func()                     // a call failed
	timed func(time.Duration, error) // takes in each call's time and error; may be nil
	calls atomic.Int64               // since the loop last counted them

	// What is known, for run alone: a watch goes on from revision after. Else the whole list has to be read, which
	// costs discovery work for each line.
	have    bool
	after   int64
	from    string        // the URL that it was read at
	heard   bool          // since the start of the process; until then no call waits where lists are pushed
	patient time.Duration // for a whole list

	// replicas are the addresses of a replicated registry, in the order they are tried; nil: one discovery. Its
	// replicas number their lists alike, so a watch goes on from one to the next and an older list is refused.
	replicas []string

	mu    sync.Mutex
	addr  string
	url   string
	moved chan struct{} // closed when url changes; then there is a new one

	// Where discovery is asked only on the module's behalf, its Watch, Unwatch and Fetch come here; nil where
	// lists are pushed, and the node follows on its own.
	asked chan balance.ActionKind
}

func newDiscovery(addr string, replicas []string, names siteconfig.Settings, log *slog.Logger, news func(List), lost func()) *discovery {
	d := &discovery{
		addr: addr, replicas: replicas, url: registryURL(addr), moved: make(chan struct{}), names: names, log: log, wait: watchWait, news: news, lost: lost,
		patient: wholeWithin,
		http: &http.Client{
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
		d.asked, d.wait = make(chan balance.ActionKind, 16), longWait
	}
	return d
}

func registryURL(addr string) string { return "http://" + addr + "/registry/instances" }

// move has discovery asked at another address from now on. A call that is under way at the old one is given up:
// nothing more is learned there.
func (d *discovery) move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if url := registryURL(addr); url != d.url {
		d.addr, d.url = addr, url
		close(d.moved)
		d.moved = make(chan struct{})
	}
}

// nextReplica moves to the replica after the one asked, where there are replicas.
func (d *discovery) nextReplica() {
	if len(d.replicas) < 2 {
		return
	}
	d.mu.Lock()
	next := d.replicas[(slices.Index(d.replicas, d.addr)+1)%len(d.replicas)]
	d.mu.Unlock()
	d.move(next)
}

// where tells at which URL discovery is now, and what is closed when it moves.
func (d *discovery) where() (url string, moved <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.url, d.moved
}

// ask passes on what the module wants of discovery. It never blocks.
func (d *discovery) ask(kind balance.ActionKind) {
	select {
	case d.asked <- kind:
	default: // nobody listens where lists are pushed; elsewhere a call is under way
	}
}

// run follows discovery until ctx ends.
func (d *discovery) run(ctx context.Context) {
	defer d.http.CloseIdleConnections()
	complain := lograte.Limited{Log: d.log}
	wait, failed := retryLeast, 0
	for ctx.Err() == nil {
		// Where discovery has moved, what it has to tell there counts as told soon, whenever the module would call.
		watch := true
		url, moved := d.where()
		if d.asked != nil && (d.from == "" || d.from == url || d.replicas != nil) {
			select {
			case <-ctx.Done():
				return
			case <-moved:
			case kind := <-d.asked:
				if kind == balance.UnwatchEndpoints {
					continue
				}
				watch = kind == balance.WatchEndpoints
			}
		}
		heard, err := d.followMoves(ctx, watch)
		if ctx.Err() != nil || err == nil {
			continue
		}
		complain.Warn("discovery failed", "error", err)
		d.unwatched() // what was asked for during the call has failed with it
		d.lost()
		d.nextReplica()
		if d.asked != nil {
			continue // the module says when to call again
		}
		if heard {
			wait, failed = retryLeast, 0
		}
		// The next replica is asked soon: waiting is for when all have failed, or news would be late by a wait for each
		// replica that is down.
		if failed++; len(d.replicas) > 0 && failed%len(d.replicas) != 0 {
			d.rest(ctx, retryLeast)
			continue
		}
		d.rest(ctx, wait)
		wait = min(2*wait, retryMost)
	}
}

// rest waits, by half more or less, since nodes that lost discovery together must not come back to it in step. It ends
// when discovery has moved.
func (d *discovery) rest(ctx context.Context, wait time.Duration) {
	_, moved := d.where()
	t := time.NewTimer(wait/2 + rand.N(wait))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-moved:
	case <-t.C:
	}
}

// followMoves follows discovery from one address to the next until a call fails.
func (d *discovery) followMoves(ctx context.Context, watch bool) (heard bool, err error) {
	for {
		url, moved := d.where()
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
		d.http.CloseIdleConnections()
	}
}

// follow reads the whole list, or goes on from the one that is known, and watches, if it is to, until a call fails.
func (d *discovery) follow(ctx context.Context, url string, watch bool) (heard bool, err error) {
	if d.from != "" && d.from != url && d.replicas == nil { // replicas are of one registry: the watch goes on
		d.have = false // it may number its lists in another way there
		d.log.Info("discovery moved: reading the whole list there")
	}
	d.from = url
	for ctx.Err() == nil {
		query, within := "", d.patient
		if watch && d.have {
			wait := d.wait
			if d.asked == nil && !d.heard {
				wait = 0
			}
			query = fmt.Sprintf("?after=%d&wait_ms=%d", d.after, wait.Milliseconds())
			within = d.wait + callSlack
		}
		var list List
		switch {
		case len(d.replicas) > 1: // a silent one is left for the next
			list, err = d.call(ctx, url+query, within)
		case query == "":
			list, err = d.callTwice(ctx, url, url, wholeAfter, within)
		default:
			list, err = d.callTwice(ctx, url+query, fmt.Sprintf("%s?after=%d&wait_ms=0", url, d.after), d.wait+silentAfter, within)
		}
		if errors.Is(err, errMalformed) {
			d.have = false // it told something that was missed
		}
		if err != nil {
			return heard, err
		}
		if query == "" && !list.Complete {
			return heard, errors.New("the whole list was asked for, and changes came")
		}
		if d.replicas != nil && d.have && list.Revision < d.after {
			return heard, fmt.Errorf("revision %d from a replica behind the %d held", list.Revision, d.after)
		}
		answered := time.Now()
		heard, d.heard = true, true
		d.news(list)
		// When versions go back, or the watch has ended, what changed in between may be missing.
		d.have = list.Complete || list.Revision >= d.after
		d.after = list.Revision
		if !watch || d.unwatched() {
			return true, nil
		}
		d.have = d.have && time.Since(answered) <= watchGap
	}
	return heard, nil
}

// callTwice makes a call, and a second one beside it if the first has not been answered after so long. The first answer
// counts.
func (d *discovery) callTwice(ctx context.Context, first, second string, after, within time.Duration) (List, error) {
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
			list, err := d.call(ctx, url, within)
			answers <- answer{list, err}
		})
	}
	start(first, within)
	silent := time.NewTimer(after)
	defer silent.Stop()
	for {
		select {
		case a := <-answers:
			if open--; a.err == nil || open == 0 || errors.Is(a.err, errMalformed) {
				return a.list, a.err
			}
		case <-silent.C:
			d.log.Info("discovery silent: asking beside it", "url", second)
			start(second, callSlack)
		}
	}
}

// unwatched takes in what the module has asked for meanwhile and tells whether it has ended its subscription.
func (d *discovery) unwatched() (ended bool) {
	for {
		select {
		case kind := <-d.asked:
			ended = kind == balance.UnwatchEndpoints
		default:
			return ended
		}
	}
}

func (d *discovery) call(ctx context.Context, url string, within time.Duration) (list List, err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return List{}, err
	}
	d.calls.Add(1)
	if d.timed != nil {
		begun := time.Now()
		defer func() { d.timed(time.Since(begun), err) }()
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return List{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, listMost+1))
	switch {
	case err != nil:
		return List{}, err
	case resp.StatusCode != http.StatusOK:
		return List{}, fmt.Errorf("status %d", resp.StatusCode)
	case len(text) > listMost:
		return List{}, fmt.Errorf("%w: too long", errMalformed)
	}
	if list, err = parseList(text, d.names); err != nil {
		return List{}, fmt.Errorf("%w: %w", errMalformed, err)
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
