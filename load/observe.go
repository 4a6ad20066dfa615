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
	sampleInterval   = 50 * time.Millisecond
	resourceInterval = 5 * time.Second
	readTimeout      = 2 * time.Second
	maxReadBytes     = 32 << 20
)

var httpClient = &http.Client{Timeout: readTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// observer collects samples of callers, runners and routers during a run.
type observer struct {
	plan  *Plan
	meter *meter
	start time.Time

	mu        sync.Mutex
	samples   []Sample
	resources []ResourceSample
}

// ResourceSample is the resource use of one router at one time, from its own
// metrics.
type ResourceSample struct {
	AtMillis   int64   `json:"at_ms"`
	Router     string  `json:"router"`
	ResidentMB float64 `json:"resident_mb"`
	Goroutines float64 `json:"goroutines"`
}

// watchResources reads the routers' metrics periodically until its context ends.
func (o *observer) watchResources(ctx context.Context) {
	ticker := time.NewTicker(resourceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.readResources(ctx)
		}
	}
}

func (o *observer) readResources(ctx context.Context) {
	for _, r := range o.plan.Fleet.Routers {
		m, err := RouterMetrics(ctx, r.OpsURL, o.plan.Fleet.OpsToken)
		if err != nil {
			continue
		}
		o.mu.Lock()
		o.resources = append(o.resources, ResourceSample{
			AtMillis:   time.Since(o.start).Milliseconds(),
			Router:     r.Name,
			ResidentMB: m[residentBytes] / bytesPerMB,
			Goroutines: m[goroutines],
		})
		o.mu.Unlock()
	}
}

// watchSamples takes samples periodically until its context ends.
func (o *observer) watchSamples(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.takeSample(ctx)
		}
	}
}

func (o *observer) takeSample(ctx context.Context) {
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

func (o *observer) snapshot() []Sample {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Sample(nil), o.samples...)
}

// RunnerStats reads the statistics of model runners concurrently. The result
// omits runners that can't be read.
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

// PlatformCounts reads the number of calls that the platform stand-in has served.
func PlatformCounts(ctx context.Context, base string) (objects.Counts, error) {
	var c objects.Counts
	return c, GetJSON(ctx, base+"/counts", "", &c)
}

// Metrics holds the values of one router's /metrics by full name, labels
// included.
type Metrics map[string]float64

// RouterMetrics reads the metrics of a router.
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

// Sum returns the sum of all metrics whose full name starts with prefix.
func (m Metrics) Sum(prefix string) float64 {
	total := 0.0
	for name, value := range m {
		if strings.HasPrefix(name, prefix) {
			total += value
		}
	}
	return total
}

// GetJSON sends a GET request and decodes the JSON response. An empty token
// sends no Authorization header.
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
		return nil, errors.Wrap(err, "send GET request")
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send GET request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("GET %s returned status %s", url, resp.Status)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxReadBytes))
}

// cutLast splits a line at its last space.
func cutLast(line string) (name, value string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}
