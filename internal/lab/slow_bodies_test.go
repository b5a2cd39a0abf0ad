package lab

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// slowBodies is a scenario in which every third request has a long body that its client sends slowly.
const slowBodies = `
name = "slow bodies"
seed = 49
duration = "2s"
nodes = 2
backends = 2
grace = "2500ms"
[load]
rate = 40
deadline = "1s"
unsafe = 0.5
keyed = 0.5
slow_bodies = 0.33
[backend]
service = "5ms"
`

// Guards against review case 2 on real processes: requests whose bodies take up to 12 s all get their final response,
// most of them from a backend.
func TestSlowBodiesAreAnswered(t *testing.T) {
	t.Parallel()
	report := runScenario(t, slowBodies)
	requireChecks(t, report)
	if served := report.Counts[kindServed]; served < 72 { // 80 are sent
		t.Errorf("%d of 80 requests were served: %v", served, report.Counts)
	}
}

// A slow body takes as long as it was drawn for, at slowBodyRate, and both of its forms are read back complete.
func TestSlowBodyIsWrittenAtItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 1))
		for range 8 {
			request := &clientRequest{trace: "a", class: classClaim, body: drawSlowBody(rng)}
			var sent strings.Builder
			began := time.Now()
			writeSlowly(t.Context(), &sent, request.textWithTimeout(time.Second))
			took := time.Since(began)
			want := time.Duration(sent.Len()) * time.Second / slowBodyRate
			if took < want || took > want+2*slowBodyInterval {
				t.Errorf("%d bytes took %v, want %v", sent.Len(), took, want)
			}
			received, err := http.ReadRequest(bufio.NewReader(strings.NewReader(sent.String())))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(received.Body)
			if err != nil || !strings.HasPrefix(string(body), `{"claim":"a"}`) || len(body) < request.body.padding {
				t.Errorf("%+v: read %d bytes, error %v", request.body, len(body), err)
			}
		}
	})
}
