// Package dispatch decides, on one router, which endpoint receives which
// request and when. It tracks the load of every endpoint (this router's own
// requests and what the other routers report of theirs), the queue of waiting
// requests, the usage of client accounts, and the limits on cold endpoints and
// retries.
//
// It serves the routers of a prepared platform, whose services are those of a
// topology.Config. The pools of a manifest are served by package admission
// instead, where one router decides for all others.
//
// Every router decides independently. Limits that must hold for the whole fleet
// (cold endpoints, retries) are divided among the routers in advance, so that
// they hold under any network partition. Load and fair shares only need to be
// approximate: they are read from the peers' reports and may be some tens of
// milliseconds old.
//
// Terms:
//   - Row: a group of routers that report their own state to each other. A
//     router outside the row receives one report for all of them; see package
//     grid.
//   - Engine: the description of the model runners that are the endpoints of a
//     service. A service without one is a plain service, and a request without
//     a prompt is a plain request.
//   - Memory: the KV cache of a model runner, counted in tokens.
//   - Cost, demand, usage: cost weighs a request by its tokens. Demand is the
//     cost that an account asked for recently, usage the cost that it was
//     granted.
//
// The caller polls the queue every few milliseconds (Poll), ends each granted
// ticket (Finish), withdraws those whose caller has left (Cancel), applies the
// reports of other routers (SetPeerReport, SetRowReport) and drops the reports
// of routers that have gone silent (DropStalePeers).
//
// The package performs no I/O, reads no clock and starts no goroutines. A
// Dispatcher is not safe for concurrent use.
package dispatch
