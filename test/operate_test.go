package test_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/internal/submit"
	"github.com/cyclamenwinch/cyclamenwinch/load"
	"github.com/cyclamenwinch/cyclamenwinch/standin/objects"
	"github.com/cyclamenwinch/cyclamenwinch/standin/runner"
)

const callTimeout = 5 * time.Second

// submit stores a manifest as the next generation and returns it.
func (c *cluster) submit(m *manifest.Manifest) int64 {
	GinkgoHelper()
	var generation int64
	Eventually(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var err error
		generation, err = submit.Submit(ctx, platform.New(c.Platform), m)
		return err
	}).Should(Succeed())
	return generation
}

// setZone changes the state of a zone and returns the accepted generation.
func (c *cluster) setZone(name string, state manifest.State) int64 {
	GinkgoHelper()
	for i := range c.manifest.Zones {
		if c.manifest.Zones[i].Name == name {
			c.manifest.Zones[i].State = state
		}
	}
	return c.submit(c.manifest)
}

// awaitGeneration waits until every router has put the generation, or a later
// one, in force.
func (c *cluster) awaitGeneration(generation int64) {
	GinkgoHelper()
	for _, r := range c.Routers {
		Eventually(func() int64 { return c.currentGeneration(r) }).Should(BeNumerically(">=", generation), r.Name)
	}
}

// currentGeneration returns the generation in force at a router, or 0 if the
// router doesn't respond.
func (c *cluster) currentGeneration(r load.Router) int64 {
	s, _ := c.status(r)
	return s.Generation
}

func (c *cluster) status(r load.Router) (opsapi.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var s opsapi.Status
	return s, load.GetJSON(ctx, r.OpsURL+"/status", c.OpsToken, &s)
}

// awaitFullMembership waits until every router knows all others.
func (c *cluster) awaitFullMembership() {
	GinkgoHelper()
	for _, r := range c.Routers {
		Eventually(func() int {
			s, _ := c.status(r)
			return len(s.Members)
		}).Should(Equal(len(c.Routers)), r.Name+" knows all routers")
	}
}

// setFaults replaces the set of active faults of a stand-in, as soon as the
// stand-in responds.
func setFaults(url string, faults any) {
	GinkgoHelper()
	body, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() (int, error) {
		req, err := http.NewRequest(http.MethodPut, url+"/faults", bytes.NewReader(body))
		if err != nil {
			return 0, err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}).Should(Equal(http.StatusOK))
}

func (c *cluster) setPlatformFaults(f objects.Faults) {
	GinkgoHelper()
	setFaults(c.Platform, f)
}

func (c *cluster) setModelFaults(f runner.Faults) {
	GinkgoHelper()
	for _, r := range c.Models {
		setFaults(r.URL, f)
	}
}

// stats returns the counters of the model runners by name.
func (c *cluster) stats() map[string]runner.Stats {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return load.RunnerStats(ctx, c.Models)
}

// evidence reads the counters of the order runners and the objects and history
// of the platform, to be checked together with the log of the callers.
func (c *cluster) evidence(records []load.Record) *load.Evidence {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	e, err := load.ReadEvidence(ctx, c.Fleet, records)
	Expect(err).NotTo(HaveOccurred())
	return e
}

func isCode(r load.Record, want code.Code) bool { return r.Code == int(want) }
