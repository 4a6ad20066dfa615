package fleet

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/core/usage"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

const (
	// syncAfter is how many exchanges in a row must show another view before
	// the views are compared: news on its way needs no comparison.
	syncAfter   = 3
	syncTimeout = 2 * time.Second
)

// RunHeartbeats exchanges heartbeats with other routers until the context
// ends. At most one exchange with each is under way.
func (f *Fleet) RunHeartbeats(ctx context.Context) error {
	for round := 0; ; round++ {
		for _, r := range f.step(round) {
			go f.beat(ctx, r)
		}
		f.publish()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(jittered(f.opts.Heartbeat)):
		}
	}
}

// step lets time pass and returns the routers to call now.
func (f *Fleet) step(round int) []member.Router {
	own := f.opts.Usage()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.Tick(time.Now())
	f.keepIncarnation()
	f.book.SetLocal(own)
	view := f.tracker.View()
	var partners []member.Router
	for _, name := range f.tracker.HeartbeatPeers(round) {
		r, ok := view.Get(name)
		if ok && !f.inFlight[name] {
			f.inFlight[name] = true
			partners = append(partners, r)
		}
	}
	return partners
}

// keepIncarnation starts the usage book anew if this router had to take a
// higher incarnation than its clock gave it; the caller holds mu.
func (f *Fleet) keepIncarnation() {
	now := f.tracker.Self().Incarnation
	if now == f.incarnation {
		return
	}
	f.incarnation = now
	f.book = usage.NewAggregator(f.opts.Self.Name, now)
	f.remote = nil
	clear(f.sent)
}

// Heartbeat answers another router's heartbeat.
func (f *Fleet) Heartbeat(ctx context.Context, in *peerpb.HeartbeatMessage) (*peerpb.HeartbeatMessage, error) {
	known := f.knows(in.GetMember().GetName(), in.GetMember().GetIncarnation())
	f.hear(in)
	f.mu.Lock()
	f.tracker.HandleReply(in.Known)
	f.mu.Unlock()
	return f.message(known, !in.Known), nil
}

// SyncView answers with news of the routers in the buckets that differ.
func (f *Fleet) SyncView(ctx context.Context, in *peerpb.ViewMessage) (*peerpb.ViewMessage, error) {
	defer f.publish()
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := &peerpb.ViewMessage{Notices: noticesTo(f.tracker.DiffNotices(time.Now(), digestFrom(in.Digest)))}
	f.tracker.HandleNotices(time.Now(), noticesFrom(in.Notices))
	reply.Digest = digestTo(f.tracker.Digest())
	return reply, nil
}

func (f *Fleet) beat(ctx context.Context, r member.Router) {
	defer f.landed(r.Name)
	ctx, cancel := context.WithTimeout(ctx, f.opts.Heartbeat)
	defer cancel()
	conn, err := f.opts.Dialer.Conn(r)
	if err != nil {
		klog.V(1).InfoS("fleet: Heartbeat not sent", "peer", r.Name, "err", err)
		return
	}
	client := peerpb.NewFleetClient(conn)
	msg := f.message(f.knows(r.Name, r.Incarnation), !f.introduced(r))
	parts, mark := f.usageFor(r)
	msg.Usage = parts
	reply, err := client.Heartbeat(ctx, msg)
	if err != nil {
		klog.V(2).InfoS("fleet: Heartbeat not answered", "peer", r.Name, "err", err)
		f.unanswered(r, err)
		return
	}
	f.opts.Dialer.Answered(r)
	f.usageTaken(r, mark)
	f.hear(reply)
	f.answered(r, reply, client)
}

// landed allows the next exchange with a router.
func (f *Fleet) landed(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.inFlight, name)
}

func (f *Fleet) unanswered(r member.Router, err error) {
	if status.Code(err) == codes.DeadlineExceeded {
		f.opts.Dialer.Silent(r)
	}
	if !f.opts.Dialer.Refused(r) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.ConnectionRefused(r.Name, r.Incarnation)
}

// answered takes in what a reply says of this router and its view.
func (f *Fleet) answered(r member.Router, reply *peerpb.HeartbeatMessage, client peerpb.FleetClient) {
	if f.differs(r, reply) && f.syncing.CompareAndSwap(false, true) {
		go f.sync(client)
	}
}

// differs reports whether enough replies in a row showed another view.
func (f *Fleet) differs(r member.Router, reply *peerpb.HeartbeatMessage) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.HandleReply(reply.Known)
	delete(f.knownTo, r.Name)
	if reply.Known {
		f.knownTo[r.Name] = reply.GetMember().GetIncarnation()
	}
	if reply.View == f.tracker.Digest().Sum() {
		f.differing = 0
		return false
	}
	f.differing++
	return f.differing >= syncAfter
}

// sync exchanges the differing parts of the views with a peer, once a
// heartbeat period at most.
func (f *Fleet) sync(client peerpb.FleetClient) {
	defer f.syncing.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	f.mu.Lock()
	ask := &peerpb.ViewMessage{Digest: digestTo(f.tracker.Digest())}
	f.mu.Unlock()
	reply, err := client.SyncView(ctx, ask)
	if err != nil {
		klog.V(1).InfoS("fleet: Views not compared", "err", err)
		return
	}
	f.mu.Lock()
	f.tracker.HandleNotices(time.Now(), noticesFrom(reply.Notices))
	tell := &peerpb.ViewMessage{
		Digest:  digestTo(f.tracker.Digest()),
		Notices: noticesTo(f.tracker.DiffNotices(time.Now(), digestFrom(reply.Digest))),
	}
	f.differing = 0
	f.mu.Unlock()
	f.publish()
	if len(tell.Notices) > 0 {
		if _, err := client.SyncView(ctx, tell); err != nil {
			klog.V(1).InfoS("fleet: Views not compared", "err", err)
		}
	}
}

func (f *Fleet) knows(name string, incarnation int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Knows(name, incarnation)
}

// introduced reports whether the router has said that it knows this one.
func (f *Fleet) introduced(r member.Router) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.knownTo[r.Name] == r.Incarnation
}

// message returns a heartbeat without usage for a router that is known, or
// was not until now. Only a full one carries this router's addresses.
func (f *Fleet) message(known, full bool) *peerpb.HeartbeatMessage {
	load, generation, clock := f.opts.Load(), f.config.generation(), f.opts.Events.Clock().Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.tracker.NextHeartbeat(load, generation)
	self := &peerpb.Member{Name: h.Router.Name, Incarnation: h.Router.Incarnation, Leaving: h.Router.Leaving}
	if full {
		self = memberTo(h.Router)
	}
	return &peerpb.HeartbeatMessage{
		Member:     self,
		Beat:       h.Seq,
		Generation: h.Generation,
		Load:       uint32(load),
		Clock:      clock,
		Notices:    noticesTo(f.tracker.PendingNotices()),
		View:       f.tracker.Digest().Sum(),
		Known:      known,
	}
}

// hear takes in a heartbeat, in either direction of an exchange.
func (f *Fleet) hear(in *peerpb.HeartbeatMessage) {
	if in.GetMember().GetName() == "" {
		return
	}
	f.opts.Events.Clock().Observe(in.Clock)
	f.mu.Lock()
	r := memberFrom(in.Member)
	if r.PeerAddr == "" {
		known, _ := f.tracker.View().Get(r.Name)
		if known.Incarnation != r.Incarnation {
			f.mu.Unlock()
			return // the answer says so, and the next one will be full
		}
		known.Leaving = r.Leaving
		r = known
	}
	r.Load = int(in.Load)
	f.tracker.HandleHeartbeat(time.Now(), member.Heartbeat{Router: r, Seq: in.Beat, Generation: in.Generation})
	f.tracker.HandleNotices(time.Now(), noticesFrom(in.Notices))
	f.takeUsage(in)
	f.mu.Unlock()
	f.publish()
	if in.Generation > f.config.generation() {
		f.fetchFrom(r)
	}
}
