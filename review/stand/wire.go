package stand

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireNames []byte

// wire holds those names of the platform's protocols that no Go file outside platform/ and
// its stand-in may have.
var wire = func() (w struct {
	AttemptHeader, SealHeader, ExpectedInstanceHeader, PrefixHeader, TokensHeader, NotExecutedHeader string
	ObjectsPath, ResolvePath, ReadyPath                                                              string
	CurrentRevision, ColdRemaining, NodeName, InternalPorts                                          string
}) {
	if err := json.Unmarshal(wireNames, &w); err != nil {
		panic(err) // the file is part of the program
	}
	return w
}()
