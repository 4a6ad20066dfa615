package load

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/standin/objects"
	"github.com/cyclamenwinch/cyclamenwinch/standin/runner"
)

const (
	sampleEvery  = 50 * time.Millisecond
	healthEvery  = 5 * time.Second
	readTimeout  = 2 * time.Second
	maxReadBytes = 32 << 20
)

var reader = &http.Client{Timeout: readTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// observer samples callers' and runners' counts until its context ends.
type observer struct {
	plan  *Plan
	meter *meter
	start time.Time

	mu      sync.Mutex
	samples []Sample
	health  []Health
}

// Health is what one router holds at a moment, by its own metrics.
type Health struct {
	AtMillis   int64   `json:"at_ms"`
	Router     string  `json:"router"`
	ResidentMB float64 `json:"resident_mb"`
	Goroutines float64 `json:"goroutines"`
}

// watchHealth reads the routers' metrics until its context ends.
func (o *observer) watchHealth(ctx context.Context) {
	ticker := time.NewTicker(healthEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.readHealth(ctx)
		}
	}
}

func (o *observer) readHealth(ctx context.Context) {
	for _, r := range o.plan.Fleet.Routers {
		m, err := RouterMetrics(ctx, r.OpsURL, o.plan.Fleet.OpsToken)
		if err != nil {
			continue
		}
		o.mu.Lock()
		o.health = append(o.health, Health{
			AtMillis:   time.Since(o.start).Milliseconds(),
			Router:     r.Name,
			ResidentMB: m[residentBytes] / bytesPerMB,
			Goroutines: m[goroutines],
		})
		o.mu.Unlock()
	}
}

func (o *observer) run(ctx context.Context) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.sample(ctx)
		}
	}
}

func (o *observer) sample(ctx context.Context) {
	running := map[string]int{}
	for name, s := range RunnerStats(ctx, o.plan.Fleet.Models) {
		running[name] = s.Running
	}
	now := time.Now()
	service, backlogged := o.meter.state(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.samples = append(o.samples, Sample{AtMillis: now.Sub(o.start).Milliseconds(), Service: service, Backlogged: backlogged, Running: running})
}

func (o *observer) all() []Sample {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Sample(nil), o.samples...)
}

// RunnerStats asks model runners for their own counts. A runner that does
// not answer is missing.
func RunnerStats(ctx context.Context, runners []Runner) map[string]runner.Stats {
	var mu sync.Mutex
	var wg sync.WaitGroup
	all := map[string]runner.Stats{}
	for _, r := range runners {
		wg.Go(func() {
			var s runner.Stats
			if GetJSON(ctx, r.URL+"/stats", "", &s) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all[r.Name] = s
		})
	}
	wg.Wait()
	return all
}

// PlatformCounts asks the platform's stand-in for the calls it has served.
func PlatformCounts(ctx context.Context, base string) (objects.Counts, error) {
	var c objects.Counts
	return c, GetJSON(ctx, base+"/counts", "", &c)
}

// Metrics are the values of one router's /metrics by their full name.
type Metrics map[string]float64

// RouterMetrics asks a router for its metrics.
func RouterMetrics(ctx context.Context, opsURL, token string) (Metrics, error) {
	body, err := get(ctx, opsURL+"/metrics", token)
	if err != nil {
		return nil, err
	}
	m := Metrics{}
	scanner := bufio.NewScanner(strings.NewReader(string(body)))
	for scanner.Scan() {
		name, value, ok := cutLast(scanner.Text())
		if !ok || strings.HasPrefix(name, "#") {
			continue
		}
		if n, err := strconv.ParseFloat(value, 64); err == nil {
			m[name] = n
		}
	}
	return m, nil
}

// Sum returns the sum of all metrics whose name starts with prefix.
func (m Metrics) Sum(prefix string) float64 {
	total := 0.0
	for name, value := range m {
		if strings.HasPrefix(name, prefix) {
			total += value
		}
	}
	return total
}

// GetJSON reads a JSON answer; token may be empty.
func GetJSON(ctx context.Context, url, token string, into any) error {
	body, err := get(ctx, url, token)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, into), "read "+url)
}

func get(ctx context.Context, url, token string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := reader.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s answered %s", url, resp.Status)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxReadBytes))
}

func cutLast(line string) (name, value string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}
