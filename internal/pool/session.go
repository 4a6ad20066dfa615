package pool

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

var (
	errOutranked         = errors.New("a higher-ranked router owns the scope")
	errOwnerUnresponsive = errors.New("the owner is unresponsive")
	errNoOwner           = errors.New("no router can own the scope")
	errStalled           = errors.New("this router's process stalled")
)

// link carries the messages of a session with an owner, over gRPC or within
// this process.
type link interface {
	Send(*peerpb.AdmitRequest) error
	Recv() (*peerpb.AdmitReply, error)
}

// run keeps a session open until the context ends. The owner is the
// highest-ranked router whose session has not failed recently.
func (sc *scopeClient) run(ctx context.Context) {
	failed := map[string]time.Time{}
	for ctx.Err() == nil {
		owner, preferred, ok := sc.chooseOwner(failed)
		err := errNoOwner
		if ok {
			err = sc.runSession(ctx, owner, preferred)
		}
		klog.V(1).InfoS("pool: Session ended", "scope", sc.scope, "owner", owner.Name, "err", err)
		if ok && !errors.Is(err, errOutranked) && !errors.Is(err, errStalled) {
			failed[owner.Name] = time.Now()
		}
		sleep(ctx, reopenDelay)
	}
}

// chooseOwner returns the router to open a session with, and the preferred
// routers that rank higher. If all routers failed recently, it returns the one
// whose failure is the oldest.
func (sc *scopeClient) chooseOwner(failed map[string]time.Time) (owner member.Router, preferred []member.Router, ok bool) {
	ranked := sc.rankedRouters()
	oldest := -1
	for i, r := range ranked {
		at, has := failed[r.Name]
		if !has || time.Since(at) > failedOwnerDelay {
			return r, ranked[:i], true
		}
		if oldest < 0 || at.Before(failed[ranked[oldest].Name]) {
			oldest = i
		}
	}
	if oldest < 0 {
		return member.Router{}, nil, false
	}
	return ranked[oldest], ranked[:oldest], true
}

// rankedRouters returns the routers that may own the scope, highest rank first:
// those in its region or, if there are none, all routers.
func (sc *scopeClient) rankedRouters() []member.Router {
	view := sc.client.fleet.View()
	if regional := view.Region(regionOf(sc.scope)); len(regional.Routers) > 0 {
		view = regional
	}
	return view.Rank(OwnerKey(sc.scope))
}

// runSession runs one session until it fails or a preferred router responds.
func (sc *scopeClient) runSession(ctx context.Context, owner member.Router, preferred []member.Router) error {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	openTimer := time.AfterFunc(silenceTimeout, func() { end(errOwnerUnresponsive) })
	defer openTimer.Stop()
	l, err := sc.connect(ctx, owner)
	if err != nil {
		return err
	}
	out := newOutbox()
	defer out.close()
	go out.sendAll(l, func(err error) { end(err) })
	stallCount := sc.client.stallCount()
	sc.attach(out, ownerID{owner.Name, owner.Incarnation}, stallCount)
	defer sc.detach(out)
	go sc.monitor(ctx, end, owner, preferred, stallCount)
	var received nameTable
	for {
		reply, err := l.Recv()
		if err != nil {
			return errors.CombineErrors(context.Cause(ctx), err)
		}
		if sc.client.stallCount() != stallCount {
			return errStalled
		}
		openTimer.Stop()
		received = append(received, reply.Names...)
		sc.handleReply(reply, received)
	}
}

func (sc *scopeClient) connect(ctx context.Context, owner member.Router) (link, error) {
	if owner.Name == sc.client.fleet.Self().Name {
		s := sc.client.host.openSession(sc.scope, owner.Name)
		context.AfterFunc(ctx, s.Close)
		return s, nil
	}
	conn, err := sc.client.dialer.Conn(owner)
	if err != nil {
		return nil, err
	}
	stream, err := peerpb.NewAdmissionClient(conn).Admit(ctx)
	if err != nil {
		return nil, err
	}
	return &remoteLink{stream}, nil
}

// remoteLink is a link over gRPC. It counts the traffic.
type remoteLink struct{ stream peerpb.Admission_AdmitClient }

// Send sends a message to the owner.
func (r *remoteLink) Send(req *peerpb.AdmitRequest) error {
	requestsSent.count(req)
	return r.stream.Send(req)
}

// Recv waits for the owner's next message.
func (r *remoteLink) Recv() (*peerpb.AdmitReply, error) {
	reply, err := r.stream.Recv()
	if err == nil {
		repliesReceived.count(reply)
	}
	return reply, err
}

// attach makes the session current. Its first message is the full report.
func (sc *scopeClient) attach(out *outbox, owner ownerID, stallCount int) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.confirmed, sc.unanswered, sc.ownerConfirms = 0, true, true
	out.put(sc.syncRequest(out, owner, stallCount))
	sc.outbox, sc.lastOwner, sc.stallCount, sc.lastReceived = out, owner, stallCount, time.Now()
}

// syncRequest returns the first message of a session: all slots that this router
// holds and all requests that wait. The release of a slot is part of the
// message that reports the slot, and the slot is then forgotten. The caller
// holds mu.
func (sc *scopeClient) syncRequest(out *outbox, owner ownerID, stallCount int) *peerpb.AdmitRequest {
	self := sc.client.fleet.Self()
	first := &peerpb.AdmitRequest{
		Scope:   sc.scope,
		Router:  self.Name,
		Zone:    self.Zone,
		Sync:    true,
		Resumed: sc.lastOwner == owner,
		Crashes: crashesToProto(sc.client.host.Crashes()),

		PartCrashes: sc.client.host.partCrashes(),

		RemovalAgeMillis: sc.client.host.timeSinceRemoval().Milliseconds(),
	}
	for seq, h := range sc.held {
		out.addHeldSlot(first, seq, h, stallCount)
		if h.release != nil {
			sc.addRelease(first, h.release, h)
			delete(sc.held, seq)
		}
	}
	for _, p := range sc.pending {
		out.addRequest(first, p)
	}
	for name, w := range sc.warmth {
		if time.Since(w.asOf) > warmthTTL {
			delete(sc.warmth, name)
			continue
		}
		first.Warmth = append(first.Warmth, &peerpb.Warmth{Endpoint: name, Proved: w.provenSlots, AgeMillis: time.Since(w.asOf).Milliseconds()})
	}
	return first
}

func (sc *scopeClient) detach(out *outbox) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.outbox == out {
		sc.outbox = nil
		sc.restoreReleases()
	}
}

// monitor reports progress and sends keepalives during a session. It ends the
// session when this process has stalled, when the owner is unresponsive, when a preferred router responds to a
// ping, and when the view has changed so that another router should own the
// scope.
func (sc *scopeClient) monitor(ctx context.Context, end context.CancelCauseFunc, owner member.Router, preferred []member.Router, stallCount int) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	lastPing := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sc.viewChanges:
			if sc.outranked(owner, preferred) {
				end(errOutranked)
			}
			continue
		case <-ticker.C:
		}
		if sc.client.stallCount() != stallCount {
			end(errStalled)
			return
		}
		sc.sendProgress()
		sc.sendKeepalive()
		if sc.ownerUnresponsive() {
			end(errOwnerUnresponsive)
		}
		if len(preferred) > 0 && time.Since(lastPing) > pingInterval {
			lastPing = time.Now()
			go sc.pingPreferred(ctx, end, preferred)
		}
	}
}

// outranked reports whether the current view ranks a router above the owner
// that was not known when the session was opened, or no longer contains the
// owner. Preferred routers that were known are left to pingPreferred, because
// they did not respond then.
func (sc *scopeClient) outranked(owner member.Router, preferred []member.Router) bool {
	for _, r := range sc.rankedRouters() {
		if r.Name == owner.Name {
			return false
		}
		if !slices.ContainsFunc(preferred, func(p member.Router) bool { return p.Name == r.Name }) {
			return true
		}
	}
	return true
}

// pingPreferred ends the session if a preferred router responds.
func (sc *scopeClient) pingPreferred(ctx context.Context, end context.CancelCauseFunc, preferred []member.Router) {
	ctx, cancel := context.WithTimeout(ctx, pingInterval)
	defer cancel()
	for _, r := range preferred {
		conn, err := sc.client.dialer.Conn(r)
		if err != nil {
			continue
		}
		if _, err := peerpb.NewAdmissionClient(conn).Ping(ctx, &peerpb.PingRequest{}); err == nil {
			end(errOutranked)
			return
		}
	}
}

// notifyViewChange makes the session check whether its owner is outranked.
func (sc *scopeClient) notifyViewChange() {
	select {
	case sc.viewChanges <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
