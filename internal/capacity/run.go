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

// Work is what happens in a window.
type Work struct {
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
	pollPause     = 100 * time.Millisecond
	modelPath     = "/v1/chat/completions"
	orderPath     = "/v1/orders"
)

// Start submits the fleet's manifest and waits until all routers see each
// other and have it in force.
func Start(dir string) error {
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
	for err = errors.New("not tried"); err != nil && ctx.Err() == nil; time.Sleep(pollPause) {
		_, err = submit.Submit(ctx, platform.New(f.Platform), m)
	}
	if err != nil {
		return err
	}
	_, err = waitFor(ctx, f, 1)
	return err
}

// Observe runs the work against a fleet that has started and returns the
// sample. pids are the routers' processes.
func Observe(dir string, size Size, w Work, pids []int) (Sample, error) {
	f, err := readFleet(dir)
	if err != nil {
		return Sample{}, err
	}
	m, err := readManifest(dir)
	if err != nil {
		return Sample{}, err
	}
	time.Sleep(time.Duration(w.Settle) * time.Second)
	before, err := read(f, pids)
	if err != nil {
		return Sample{}, err
	}
	d := &driver{fleet: f, manifest: m, work: w}
	d.run()
	after, err := read(f, pids)
	if err != nil {
		return Sample{}, err
	}
	s := between(before, after)
	s.Label, s.Routers, s.Accounts, s.Endpoints = w.Label, size.Routers, len(m.Accounts), len(m.Endpoints)
	s.Requests, s.Orders, s.Changes, s.InForce = d.requests, d.orders, len(d.inForce), d.inForce
	return s, d.err
}

// driver does the work of one window.
type driver struct {
	fleet    load.Fleet
	manifest *manifest.Manifest
	work     Work

	mu       sync.Mutex
	requests int // answered with 200
	orders   int
	inForce  []float64
	err      error
}

func (d *driver) run() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.work.Seconds)*time.Second)
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() { d.send(ctx, d.work.Requests, modelPath, &d.requests) })
	all.Go(func() { d.send(ctx, d.work.Orders, orderPath, &d.orders) })
	all.Go(func() { d.change(ctx) })
	all.Wait()
	<-ctx.Done()
}

// send sends requests at a rate, to the routers and accounts in turn.
func (d *driver) send(ctx context.Context, rate float64, path string, answered *int) {
	if rate == 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		open.Go(func() {
			if d.post(i, path) {
				d.mu.Lock()
				*answered++
				d.mu.Unlock()
			}
		})
	}
}

// post sends one request and reports whether it was answered.
func (d *driver) post(i int, path string) bool {
	router := d.fleet.Routers[i%len(d.fleet.Routers)]
	account := d.manifest.Accounts[i%len(d.manifest.Accounts)]
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"bar stools %d"}],"max_tokens":8}`, d.model(), i)
	req, err := http.NewRequest(http.MethodPost, router.CallerURL+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer demo-"+account.Name)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d", d.work.Label, i))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

func (d *driver) model() string {
	for _, p := range d.manifest.Pools {
		if p.Kind == manifest.Model {
			return p.Models[0]
		}
	}
	return ""
}

// change submits small changes, spread over the window, and notes how long
// each took to be in force everywhere.
func (d *driver) change(ctx context.Context) {
	pause := time.Duration(d.work.Seconds) * time.Second / time.Duration(max(1, d.work.Changes))
	client := platform.New(d.fleet.Platform)
	for i := range d.work.Changes {
		start := time.Now()
		last := &d.manifest.Accounts[len(d.manifest.Accounts)-1]
		last.MaxQueue = 1000 + i + time.Now().Second()
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		generation, err := submit.Submit(ctx, client, d.manifest)
		if err == nil {
			accepted := time.Now()
			_, err = waitFor(ctx, d.fleet, generation)
			d.inForce = append(d.inForce, time.Since(accepted).Seconds())
		}
		cancel()
		if err != nil {
			d.err = err
			return
		}
		time.Sleep(max(0, pause-time.Since(start)))
	}
	<-ctx.Done()
}

// waitFor waits until every router sees all routers and has the generation
// in force.
func waitFor(ctx context.Context, f load.Fleet, generation int64) (time.Duration, error) {
	start := time.Now()
	for i := range f.Routers {
		for {
			s, err := status(f, i)
			if err == nil && s.Generation >= generation && len(s.Members) == len(f.Routers) {
				break
			}
			if ctx.Err() != nil {
				return 0, errors.Newf("%s: generation %d with %d members after %s", f.Routers[i].Name, s.Generation, len(s.Members), time.Since(start))
			}
			time.Sleep(pollPause)
		}
	}
	return time.Since(start), nil
}

func readManifest(dir string) (*manifest.Manifest, error) {
	data, err := os.ReadFile(filepath.Join(dir, manifestFile))
	if err != nil {
		return nil, errors.Wrap(err, "manifest")
	}
	var m manifest.Manifest
	return &m, errors.Wrap(json.Unmarshal(data, &m), "manifest")
}
