package main

import "github.com/cyclamenwinch/cyclamenwinch/internal/opsclient"

// opsOptions are the options of commands that call the operations API of the
// routers.
type opsOptions struct {
	jsonOption
	Ops   []string `long:"ops" env:"CYCLAMENWINCH_OPS" env-delim:"," required:"true" description:"operations address of a router; several are tried in turn"`
	Token string   `long:"token" env:"CYCLAMENWINCH_TOKEN" required:"true" description:"operators' credential"`
	CA    string   `long:"ca" env:"CYCLAMENWINCH_CA" description:"PEM file with the authority of the routers' certificates"`
}

func (o *opsOptions) client() (*opsclient.Client, error) {
	return opsclient.New(opsclient.Options{Routers: o.Ops, Token: o.Token, CAFile: o.CA})
}
