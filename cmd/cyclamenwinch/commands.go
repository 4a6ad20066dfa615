package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/eventlog"
	"github.com/cyclamenwinch/cyclamenwinch/internal/opsapi"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/internal/submit"
)

const callTimeout = 10 * time.Second

type fileArg struct {
	File string `positional-arg-name:"manifest.json" required:"yes"`
}

type checkCommand struct {
	Args fileArg `positional-args:"yes"`
}

// Execute checks a manifest file.
func (c *checkCommand) Execute([]string) error {
	if _, err := readManifest(c.Args.File); err != nil {
		return err
	}
	fmt.Println("The manifest is right.")
	return nil
}

type submitCommand struct {
	Platform string  `long:"platform" env:"CYCLAMENWINCH_PLATFORM" required:"true" description:"address of the object API"`
	Args     fileArg `positional-args:"yes"`
}

// Execute submits a manifest file.
func (c *submitCommand) Execute([]string) error {
	m, err := readManifest(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	generation, err := submit.Submit(ctx, platform.New(c.Platform), m)
	if err != nil {
		return err
	}
	fmt.Printf("Accepted as generation %d.\n", generation)
	return nil
}

// opsOptions say which router to ask.
type opsOptions struct {
	Ops   string `long:"ops" env:"CYCLAMENWINCH_OPS" required:"true" description:"operations address of any router"`
	Token string `long:"token" env:"CYCLAMENWINCH_TOKEN" required:"true" description:"operators' credential"`
	JSON  bool   `long:"json" description:"print JSON"`
}

type statusCommand struct{ opsOptions }

// Execute shows a router's state.
func (c *statusCommand) Execute([]string) error {
	s, err := c.status()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "ROUTER\tZONE\tGENERATION\tOPEN\tLEAVING\n")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\n", m.Name, m.Zone, s.Generations[m.Name], m.Load, m.Leaving)
	}
	fmt.Fprintf(w, "\nACCOUNT\tSHARE\tCOST\tCOST/SHARE\n")
	for _, a := range s.Service {
		fmt.Fprintf(w, "%s\t%g\t%.0f\t%.1f\n", a.Account, a.Share, float64(a.Cost), float64(a.Cost)/a.Share)
	}
	return w.Flush()
}

type waitCommand struct {
	opsOptions
	Generation int64 `long:"generation" required:"true"`
	Seconds    int   `long:"seconds" default:"30" description:"longest wait"`
}

// Execute waits until all routers report the generation.
func (c *waitCommand) Execute([]string) error {
	deadline := time.Now().Add(time.Duration(c.Seconds) * time.Second)
	for {
		s, err := c.status()
		if err == nil && inForce(s, c.Generation) {
			fmt.Printf("Generation %d is in force at %d routers.\n", c.Generation, len(s.Members))
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Newf("generation %d is not in force everywhere after %d s", c.Generation, c.Seconds)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func inForce(s opsapi.Status, generation int64) bool {
	for _, m := range s.Members {
		if s.Generations[m.Name] < generation {
			return false
		}
	}
	return true
}

type timelineCommand struct {
	opsOptions
	Request string `long:"request" description:"only events of this request"`
	Account string `long:"account" description:"only events of this client account"`
}

// Execute prints the events of all routers in one order.
func (c *timelineCommand) Execute([]string) error {
	s, err := c.status()
	if err != nil {
		return err
	}
	var all []eventlog.Event
	for _, m := range s.Members {
		var events []eventlog.Event
		if err := c.get(m.OpsURL+"/timeline", &events); err != nil {
			fmt.Fprintf(os.Stderr, "%s not reached: %v\n", m.Name, err)
			continue
		}
		all = append(all, events...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Clock < all[j].Clock })
	kept := all[:0]
	for _, e := range all {
		if (c.Request == "" || e.Request == c.Request) && (c.Account == "" || e.Account == c.Account) {
			kept = append(kept, e)
		}
	}
	if c.JSON {
		return printJSON(kept)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, e := range kept {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", eventlog.Time(e.Clock).UTC().Format("15:04:05.000"), e.Router, e.Kind, e.Request, e.Account, e.Endpoint, e.Detail)
	}
	return w.Flush()
}

func (o *opsOptions) status() (opsapi.Status, error) {
	var s opsapi.Status
	err := o.get(o.Ops+"/status", &s)
	return s, err
}

func (o *opsOptions) get(url string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "operations call")
	}
	req.Header.Set("Authorization", "Bearer "+o.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "operations call")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("the router answered %s", resp.Status)
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), "read answer")
}

func readManifest(file string) (*manifest.Manifest, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read manifest")
	}
	return submit.Parse(data)
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
