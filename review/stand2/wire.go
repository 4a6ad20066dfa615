package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform's protocols stand in JSON files: no Go file outside platform/ and
// its stand-in may have them.
var (
	//go:embed wire.json
	wireNames []byte
	// configuration is the operator's: routes, services and limits of the example that
	// `fleetbench wire` prints, as far as the cases need them.
	//
	//go:embed config.json
	configuration []byte
	// baseSettings are those of DEPLOY.md's example with the sheet of the site.
	//
	//go:embed settings.json
	baseSettings []byte
)

var wire = func() (w struct {
	AttemptHeader, SealHeader, ExpectedInstanceHeader, NotExecutedHeader, AccountHeader, TokensHeader, PrefixHeader string
	ObjectsPath, ReadyPath                                                                                          string
	CurrentRevision, ColdRemaining, NodeName, InternalPorts                                                         string
}) {
	if err := json.Unmarshal(wireNames, &w); err != nil {
		panic(err) // the file is part of the program
	}
	return w
}()
