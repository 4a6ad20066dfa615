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
	// syncThreshold is the number of consecutive replies with another view after
	// which the views are synchronized. Fewer may be due to a change that is still
	// being propagated and needs no synchronization.
	syncThreshold = 3
	syncTimeout   = 2 * time.Second
)

// RunHeartbeats exchanges heartbeats with other routers until the context
// ends. At most one exchange with each router is in progress.
func (f *Fleet) RunHeartbeats(ctx context.Context) error {
	for round := 0; ; round++ {
		for _, r := range f.startRound(round) {
			go f.sendHeartbeat(ctx, r)
		}
		f.publishChanges()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(withJitter(f.opts.Heartbeat)):
		}
	}
}

// startRound applies the tracker's timeouts, updates the local usage and returns
// the routers to send a heartbeat to in this round.
func (f *Fleet) startRound(round int) []member.Router {
	own := f.opts.Usage()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.Tick(time.Now())
	f.updateIncarnation()
	f.usage.SetLocal(own)
	view := f.tracker.View()
	var peers []member.Router
	for _, name := range f.tracker.HeartbeatPeers(round) {
		r, ok := view.Get(name)
		if ok && !f.inFlight[name] {
			f.inFlight[name] = true
			peers = append(peers, r)
		}
	}
	return peers
}

// updateIncarnation replaces the usage aggregator if this router had to take a
// higher incarnation than the one derived from its clock. The caller must hold
// f.mu.
func (f *Fleet) updateIncarnation() {
	current := f.tracker.Self().Incarnation
	if current == f.incarnation {
		return
	}
	f.incarnation = current
	f.usage = usage.NewAggregator(f.opts.Self.Name, current)
	f.remoteUsage = nil
	clear(f.usageProgress)
}

// Heartbeat handles a heartbeat from another router and replies with this
// router's own.
func (f *Fleet) Heartbeat(ctx context.Context, in *peerpb.HeartbeatMessage) (*peerpb.HeartbeatMessage, error) {
	known := f.knows(in.GetMember().GetName(), in.GetMember().GetIncarnation())
	f.handleHeartbeat(in)
	f.mu.Lock()
	f.tracker.HandleReply(in.Known)
	f.mu.Unlock()
	return f.heartbeatMessage(known, !in.Known), nil
}

// SyncView applies the notices in the request and returns notices of the routers
// in those digest buckets that differ.
func (f *Fleet) SyncView(ctx context.Context, in *peerpb.ViewMessage) (*peerpb.ViewMessage, error) {
	defer f.publishChanges()
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := &peerpb.ViewMessage{Notices: noticesToProto(f.tracker.DiffNotices(time.Now(), digestFromProto(in.Digest)))}
	f.tracker.HandleNotices(time.Now(), noticesFromProto(in.Notices))
	reply.Digest = digestToProto(f.tracker.Digest())
	return reply, nil
}

func (f *Fleet) sendHeartbeat(ctx context.Context, r member.Router) {
	defer f.exchangeDone(r.Name)
	ctx, cancel := context.WithTimeout(ctx, f.opts.Heartbeat)
	defer cancel()
	conn, err := f.opts.Dialer.Conn(r)
	if err != nil {
		klog.V(1).InfoS("fleet: Failed to send heartbeat", "peer", r.Name, "err", err)
		return
	}
	client := peerpb.NewFleetClient(conn)
	msg := f.heartbeatMessage(f.knows(r.Name, r.Incarnation), !f.isKnownBy(r))
	parts, progress := f.pendingUsage(r)
	msg.Usage = parts
	reply, err := client.Heartbeat(ctx, msg)
	if err != nil {
		klog.V(2).InfoS("fleet: No reply to heartbeat", "peer", r.Name, "err", err)
		f.heartbeatFailed(r, err)
		return
	}
	f.opts.Dialer.RecordResponse(r)
	f.recordUsageDelivered(r, progress)
	f.handleHeartbeat(reply)
	f.handleReply(r, reply, client)
}

// exchangeDone allows the next heartbeat exchange with a router.
func (f *Fleet) exchangeDone(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.inFlight, name)
}

// heartbeatFailed records a timeout or a refused connection.
func (f *Fleet) heartbeatFailed(r member.Router, err error) {
	if status.Code(err) == codes.DeadlineExceeded {
		f.opts.Dialer.RecordTimeout(r)
	}
	if !f.opts.Dialer.ConnectionRefused(r) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.ConnectionRefused(r.Name, r.Incarnation)
}

// handleReply processes what a reply says about this router and starts a view
// synchronization if the views still differ after several replies.
func (f *Fleet) handleReply(r member.Router, reply *peerpb.HeartbeatMessage, client peerpb.FleetClient) {
	if f.needsSync(r, reply) && f.syncing.CompareAndSwap(false, true) {
		go f.syncViews(client)
	}
}

// needsSync records whether the peer knows this router and has the same view. It
// reports whether enough consecutive replies showed another view.
func (f *Fleet) needsSync(r member.Router, reply *peerpb.HeartbeatMessage) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.HandleReply(reply.Known)
	delete(f.knownBy, r.Name)
	if reply.Known {
		f.knownBy[r.Name] = reply.GetMember().GetIncarnation()
	}
	if reply.View == f.tracker.Digest().Sum() {
		f.viewMismatches = 0
		return false
	}
	f.viewMismatches++
	return f.viewMismatches >= syncThreshold
}

// syncViews exchanges with a peer the notices of the digest buckets that differ.
// At most one synchronization is in progress.
func (f *Fleet) syncViews(client peerpb.FleetClient) {
	defer f.syncing.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	f.mu.Lock()
	request := &peerpb.ViewMessage{Digest: digestToProto(f.tracker.Digest())}
	f.mu.Unlock()
	reply, err := client.SyncView(ctx, request)
	if err != nil {
		klog.V(1).InfoS("fleet: Failed to synchronize view with peer", "err", err)
		return
	}
	f.mu.Lock()
	f.tracker.HandleNotices(time.Now(), noticesFromProto(reply.Notices))
	update := &peerpb.ViewMessage{
		Digest:  digestToProto(f.tracker.Digest()),
		Notices: noticesToProto(f.tracker.DiffNotices(time.Now(), digestFromProto(reply.Digest))),
	}
	f.viewMismatches = 0
	f.mu.Unlock()
	f.publishChanges()
	if len(update.Notices) > 0 {
		if _, err := client.SyncView(ctx, update); err != nil {
			klog.V(1).InfoS("fleet: Failed to send view update to peer", "err", err)
		}
	}
}

func (f *Fleet) knows(name string, incarnation int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Knows(name, incarnation)
}

// isKnownBy reports whether this incarnation of r last replied that it knows this
// router.
func (f *Fleet) isKnownBy(r member.Router) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.knownBy[r.Name] == r.Incarnation
}

// heartbeatMessage returns this router's next heartbeat without usage. known
// tells the receiver whether this router knew it before the exchange. Only a full
// message carries this router's addresses.
func (f *Fleet) heartbeatMessage(known, full bool) *peerpb.HeartbeatMessage {
	load, generation, clock := f.opts.Load(), f.config.generation(), f.opts.Events.Clock().Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.tracker.NextHeartbeat(load, generation)
	self := &peerpb.Member{Name: h.Router.Name, Incarnation: h.Router.Incarnation, Leaving: h.Router.Leaving}
	if full {
		self = memberToProto(h.Router)
	}
	return &peerpb.HeartbeatMessage{
		Member:     self,
		Beat:       h.Seq,
		Generation: h.Generation,
		Load:       uint32(load),
		Clock:      clock,
		Notices:    noticesToProto(f.tracker.PendingNotices()),
		View:       f.tracker.Digest().Sum(),
		Known:      known,
	}
}

// handleHeartbeat processes a heartbeat, received as a request or as a reply.
func (f *Fleet) handleHeartbeat(in *peerpb.HeartbeatMessage) {
	if in.GetMember().GetName() == "" {
		return
	}
	f.opts.Events.Clock().Observe(in.Clock)
	f.mu.Lock()
	r := memberFromProto(in.Member)
	if r.PeerAddr == "" {
		known, _ := f.tracker.View().Get(r.Name)
		if known.Incarnation != r.Incarnation {
			f.mu.Unlock()
			return // the reply tells the sender that it is not known, so its next heartbeat will be full
		}
		known.Leaving = r.Leaving
		r = known
	}
	r.Load = int(in.Load)
	f.tracker.HandleHeartbeat(time.Now(), member.Heartbeat{Router: r, Seq: in.Beat, Generation: in.Generation})
	f.tracker.HandleNotices(time.Now(), noticesFromProto(in.Notices))
	f.mergeUsage(in)
	f.mu.Unlock()
	f.publishChanges()
	if in.Generation > f.config.generation() {
		f.fetchInBackground(r)
	}
}
