package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/load"
)

type layoutCommand struct {
	Example  string  `long:"example" default:"examples/nile-perch" description:"directory whose manifest and settings are extended"`
	Dir      string  `long:"dir" required:"true" description:"directory for the files"`
	BasePort int     `long:"base-port" default:"25000" description:"first of the ports taken in a row"`
	Routers  int     `long:"routers" default:"7"`
	Models   int     `long:"models" default:"12" description:"model runners"`
	Orders   int     `long:"orders" default:"3" description:"order runners"`
	Accounts int     `long:"accounts" default:"16" description:"client accounts"`
	Seed     uint64  `long:"seed" default:"1"`
	Seconds  int     `long:"seconds" default:"40" description:"length of each plan"`
	TokenMs  int     `long:"token-ms" default:"20" description:"time between tokens of a model runner"`
	Rate     float64 `long:"rate" default:"1" description:"factor on all rates"`
}

// Execute writes the manifest, the settings and the plans. The file "processes"
// gets one command line per process, the routers last.
func (c *layoutCommand) Execute([]string) error {
	if err := os.MkdirAll(c.Dir, dirMode); err != nil {
		return errors.Wrap(err, "create layout directory")
	}
	nextPort := c.BasePort
	l := load.Layout{Example: c.Example, Routers: c.Routers, Models: c.Models, Orders: c.Orders, Accounts: c.Accounts}
	l.NextPort = func() int { nextPort++; return nextPort - 1 }
	fleet, m, err := l.Write(c.Dir)
	if err != nil {
		return err
	}
	for _, scenario := range []string{load.Contention, load.Flood, load.Quiet} {
		plan := load.PlanFor(scenario, c.Seed, c.Seconds, float64(c.TokenMs), fleet, m)
		for i := range plan.Accounts {
			plan.Accounts[i].Rate *= c.Rate
		}
		if err := c.writePlan(scenario, plan); err != nil {
			return err
		}
		plan.Move = &load.ZoneMove{Zone: plan.Zones[0], OutAtSecs: c.Seconds * 2 / 5, BackAtSecs: c.Seconds * 7 / 10}
		if err := c.writePlan(scenario+"-move", plan); err != nil {
			return err
		}
	}
	return c.writeProcesses(fleet)
}

func (c *layoutCommand) writePlan(name string, plan *load.Plan) error {
	return load.WriteJSON(filepath.Join(c.Dir, "plan-"+name+".json"), plan)
}

func (c *layoutCommand) writeProcesses(f load.Fleet) error {
	lines := []string{"cyclamenwinch-standin --role platform --listen " + host(f.Platform)}
	for _, r := range f.Models {
		lines = append(lines, fmt.Sprintf("cyclamenwinch-standin --role model --name %s --token-ms %d --listen %s", r.Name, c.TokenMs, host(r.URL)))
	}
	for _, r := range f.Orders {
		lines = append(lines, fmt.Sprintf("cyclamenwinch-standin --role order --fence --name %s --listen %s", r.Name, host(r.URL)))
	}
	for _, r := range f.Routers {
		lines = append(lines, "cyclamenwinchd --settings "+filepath.Join(c.Dir, load.SettingsFile(r.Name)))
	}
	data := []byte(strings.Join(lines, "\n") + "\n")
	return errors.Wrap(os.WriteFile(filepath.Join(c.Dir, "processes"), data, 0o644), "write list of processes")
}

func host(url string) string { return strings.TrimPrefix(url, "http://") }
