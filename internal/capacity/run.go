package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/internal/submit"
	"github.com/cyclamenwinch/cyclamenwinch/load"
)

// Workload describes the requests and configuration changes of a window.
type Workload struct {
	Label    string  `long:"label" required:"yes"`
	Seconds  int     `long:"seconds" default:"10"`
	Requests float64 `long:"requests" description:"model requests a second, over all routers"`
	Orders   float64 `long:"orders" description:"orders a second, over all routers"`
	Changes  int     `long:"changes" description:"changes of the manifest in the window"`
	Settle   int     `long:"settle" default:"3" description:"seconds before the window"`
}

const (
	joinTimeout   = 60 * time.Second
	changeTimeout = 30 * time.Second
	pollInterval  = 100 * time.Millisecond
	modelPath     = "/v1/chat/completions"
	orderPath     = "/v1/orders"
)

// SubmitAndWait submits the fleet's manifest and waits until every router lists all
// routers as members and has the manifest in force. It retries a failed submission.
func SubmitAndWait(dir string) error {
	f, err := readFleet(dir)
	if err != nil {
		return err
	}
	m, err := readManifest(dir)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	for err = errors.New("manifest was not submitted"); err != nil && ctx.Err() == nil; time.Sleep(pollInterval) {
		_, err = submit.Submit(ctx, platform.New(f.Platform), m)
	}
	if err != nil {
		return err
	}
	_, err = waitForGeneration(ctx, f, 1)
	return err
}

// MeasureWindow runs the workload against a running fleet and returns the sample of
// that time. pids are the process IDs of the routers.
func MeasureWindow(dir string, size FleetSize, w Workload, pids []int) (Sample, error) {
	f, err := readFleet(dir)
	if err != nil {
		return Sample{}, err
	}
	m, err := readManifest(dir)
	if err != nil {
		return Sample{}, err
	}
	time.Sleep(time.Duration(w.Settle) * time.Second)
	before, err := takeSnapshot(f, pids)
	if err != nil {
		return Sample{}, err
	}
	d := &driver{fleet: f, manifest: m, workload: w}
	d.run()
	after, err := takeSnapshot(f, pids)
	if err != nil {
		return Sample{}, err
	}
	s := newSample(before, after)
	s.Label, s.Routers, s.Accounts, s.Endpoints = w.Label, size.Routers, len(m.Accounts), len(m.Endpoints)
	s.Requests, s.Orders, s.Changes, s.PropagationSeconds = d.requests, d.orders, len(d.propagationSeconds), d.propagationSeconds
	return s, d.err
}

// driver generates the workload of one window.
type driver struct {
	fleet    load.Fleet
	manifest *manifest.Manifest
	workload Workload

	mu                 sync.Mutex
	requests           int // with status 200
	orders             int
	propagationSeconds []float64
	err                error
}

func (d *driver) run() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.workload.Seconds)*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { d.send(ctx, d.workload.Requests, modelPath, &d.requests) })
	wg.Go(func() { d.send(ctx, d.workload.Orders, orderPath, &d.orders) })
	wg.Go(func() { d.submitChanges(ctx) })
	wg.Wait()
	<-ctx.Done()
}

// send sends requests at the given rate, in turn to each router and for each client
// account, and counts those with status 200 in succeeded. When ctx is done, it waits
// for the requests in flight.
func (d *driver) send(ctx context.Context, rate float64, path string, succeeded *int) {
	if rate == 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		inFlight.Go(func() {
			if d.post(i, path) {
				d.mu.Lock()
				*succeeded++
				d.mu.Unlock()
			}
		})
	}
}

// post sends one request and reports whether it got status 200.
func (d *driver) post(i int, path string) bool {
	router := d.fleet.Routers[i%len(d.fleet.Routers)]
	account := d.manifest.Accounts[i%len(d.manifest.Accounts)]
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"bar stools %d"}],"max_tokens":8}`, d.firstModel(), i)
	req, err := http.NewRequest(http.MethodPost, router.CallerURL+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer demo-"+account.Name)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d", d.workload.Label, i))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// firstModel returns the first model of the manifest, or "" if there is none.
func (d *driver) firstModel() string {
	for _, p := range d.manifest.Pools {
		if p.Kind == manifest.Model {
			return p.Models[0]
		}
	}
	return ""
}

// submitChanges submits small changes of the manifest, evenly spread over the
// window, and records the time from the acceptance of each until it was in force at
// all routers. It stops at the first failure.
func (d *driver) submitChanges(ctx context.Context) {
	interval := time.Duration(d.workload.Seconds) * time.Second / time.Duration(max(1, d.workload.Changes))
	client := platform.New(d.fleet.Platform)
	for i := range d.workload.Changes {
		start := time.Now()
		last := &d.manifest.Accounts[len(d.manifest.Accounts)-1]
		last.MaxQueue = 1000 + i + time.Now().Second()
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		generation, err := submit.Submit(ctx, client, d.manifest)
		if err == nil {
			accepted := time.Now()
			_, err = waitForGeneration(ctx, d.fleet, generation)
			d.propagationSeconds = append(d.propagationSeconds, time.Since(accepted).Seconds())
		}
		cancel()
		if err != nil {
			d.err = err
			return
		}
		time.Sleep(max(0, interval-time.Since(start)))
	}
	<-ctx.Done()
}

// waitForGeneration waits until every router lists all routers as members and has
// the generation or a later one in force. It returns the time that this took.
func waitForGeneration(ctx context.Context, f load.Fleet, generation int64) (time.Duration, error) {
	start := time.Now()
	for i := range f.Routers {
		for {
			s, err := routerStatus(f, i)
			if err == nil && s.Generation >= generation && len(s.Members) == len(f.Routers) {
				break
			}
			if ctx.Err() != nil {
				return 0, errors.Newf("router %s is at generation %d with %d members after %s", f.Routers[i].Name, s.Generation, len(s.Members), time.Since(start))
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Since(start), nil
}

func readManifest(dir string) (*manifest.Manifest, error) {
	data, err := os.ReadFile(filepath.Join(dir, manifestFile))
	if err != nil {
		return nil, errors.Wrap(err, "read manifest")
	}
	var m manifest.Manifest
	return &m, errors.Wrap(json.Unmarshal(data, &m), "decode manifest")
}
