package discovery

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"hitchvale/balance"
)

// If the address of discovery changes while no call is open, because the last call failed, the client reads the
// complete list at the new address immediately. Discovery at the new address may use other revision numbers.
func TestAddressChangeBetweenCalls(t *testing.T) {
	for _, polled := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			failures := make(chan struct{}, 64)
			calls := make(chan string, 64)
			cfg := testConfig(t, "127.0.0.1:1")
			cfg.Settings.Config.PollDiscovery = polled
			cfg.InitialList = List{Revision: 90, Members: []Member{{ID: "s"}}}
			cfg.OnFailure = func() { failures <- struct{}{} }
			cfg.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
				if r.URL.Host == "127.0.0.1:1" {
					return nil, errors.New("refused")
				}
				calls <- r.URL.RawQuery
				<-r.Context().Done()
				return nil, r.Context().Err()
			})
			c := NewClient(cfg)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				c.Run(ctx)
				close(ended)
			}()
			if polled {
				c.Request(balance.WatchEndpoints)
			}
			<-failures
			synctest.Wait()
			c.SetAddress("127.0.0.1:2")
			moved := time.Now()
			if query := <-calls; query != "" || time.Since(moved) > 0 {
				t.Errorf("polled=%v: called with %q after %v, want an empty query immediately", polled, query, time.Since(moved))
			}
			cancel()
			<-ended
		})
	}
}
