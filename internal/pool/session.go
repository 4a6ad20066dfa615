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
	errMoved   = errors.New("an earlier router in rank owns the scope")
	errSilent  = errors.New("the owner is silent")
	errNoOwner = errors.New("no router may own the scope")
	errPaused  = errors.New("this router stood still")
)

// link is a session with an owner, over gRPC or within this process.
type link interface {
	Send(*peerpb.AdmitRequest) error
	Recv() (*peerpb.AdmitReply, error)
}

// run keeps a session open until the context ends, with the first router in
// rank that has not failed a short time ago.
func (b *broker) run(ctx context.Context) {
	failed := map[string]time.Time{}
	for ctx.Err() == nil {
		owner, earlier, ok := b.choose(failed)
		err := errNoOwner
		if ok {
			err = b.session(ctx, owner, earlier)
		}
		klog.V(1).InfoS("pool: Session ended", "scope", b.scope, "owner", owner.Name, "err", err)
		if ok && !errors.Is(err, errMoved) && !errors.Is(err, errPaused) {
			failed[owner.Name] = time.Now()
		}
		pause(ctx, reopenPause)
	}
}

// choose returns the router to have a session with and those before it in
// rank. If all have failed it is the one that failed first.
func (b *broker) choose(failed map[string]time.Time) (owner member.Router, earlier []member.Router, ok bool) {
	ranked := b.rank()
	oldest := -1
	for i, r := range ranked {
		at, has := failed[r.Name]
		if !has || time.Since(at) > avoidFor {
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

// rank returns the routers that may own the scope, first choice first: those
// of its region or, if it has none, all.
func (b *broker) rank() []member.Router {
	view := b.client.fleet.View()
	if home := view.Region(regionOf(b.scope)); len(home.Routers) > 0 {
		view = home
	}
	return view.Rank(OwnerKey(b.scope))
}

// session runs one session until it fails or an earlier router answers.
func (b *broker) session(ctx context.Context, owner member.Router, earlier []member.Router) error {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	opening := time.AfterFunc(silentAfter, func() { end(errSilent) })
	defer opening.Stop()
	l, err := b.open(ctx, owner)
	if err != nil {
		return err
	}
	out := newOutbox()
	defer out.close()
	go out.drain(l, func(err error) { end(err) })
	awake := b.client.pauses()
	b.start(out, ownerID{owner.Name, owner.Incarnation}, awake)
	defer b.leave(out)
	go b.watch(ctx, end, owner, earlier)
	var known names
	for {
		reply, err := l.Recv()
		if err != nil {
			return errors.CombineErrors(context.Cause(ctx), err)
		}
		if b.client.pauses() != awake {
			return errPaused
		}
		opening.Stop()
		known = append(known, reply.Names...)
		b.take(reply, known)
	}
}

func (b *broker) open(ctx context.Context, owner member.Router) (link, error) {
	if owner.Name == b.client.fleet.Self().Name {
		s := b.client.host.open(b.scope, owner.Name)
		context.AfterFunc(ctx, s.Close)
		return s, nil
	}
	conn, err := b.client.dialer.Conn(owner)
	if err != nil {
		return nil, err
	}
	stream, err := peerpb.NewAdmissionClient(conn).Admit(ctx)
	if err != nil {
		return nil, err
	}
	return &remote{stream}, nil
}

// remote is a session over gRPC; it counts the traffic.
type remote struct{ stream peerpb.Admission_AdmitClient }

// Send sends a message to the owner.
func (r *remote) Send(req *peerpb.AdmitRequest) error {
	requestsSent.count(req)
	return r.stream.Send(req)
}

// Recv waits for the owner's next message.
func (r *remote) Recv() (*peerpb.AdmitReply, error) {
	reply, err := r.stream.Recv()
	if err == nil {
		repliesReceived.count(reply)
	}
	return reply, err
}

// start puts the session into use; its first message is the full report.
func (b *broker) start(out *outbox, owner ownerID, awake int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out.put(b.report(out, owner))
	b.out, b.last, b.awake, b.heard = out, owner, awake, time.Now()
}

func (b *broker) leave(out *outbox) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.out == out {
		b.out = nil
	}
}

// watch ends a session whose owner is silent, or when an earlier router in
// rank can be reached, and reports progress.
func (b *broker) watch(ctx context.Context, end context.CancelCauseFunc, owner member.Router, earlier []member.Router) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	pinged := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.changed:
			if b.outranked(owner, earlier) {
				end(errMoved)
			}
			continue
		case <-ticker.C:
		}
		b.sendProgress()
		b.signOfLife()
		if b.silent() {
			end(errSilent)
		}
		if len(earlier) > 0 && time.Since(pinged) > pingEvery {
			pinged = time.Now()
			go b.pingEarlier(ctx, end, earlier)
		}
	}
}

// outranked reports whether by the present view the session should be with
// a router that was not known when it was opened. Those that were known and
// did not answer are left to the pings.
func (b *broker) outranked(owner member.Router, earlier []member.Router) bool {
	for _, r := range b.rank() {
		if r.Name == owner.Name {
			return false
		}
		if !slices.ContainsFunc(earlier, func(e member.Router) bool { return e.Name == r.Name }) {
			return true
		}
	}
	return true
}

// pingEarlier ends the session if an earlier router in rank answers.
func (b *broker) pingEarlier(ctx context.Context, end context.CancelCauseFunc, earlier []member.Router) {
	ctx, cancel := context.WithTimeout(ctx, pingEvery)
	defer cancel()
	for _, r := range earlier {
		conn, err := b.client.dialer.Conn(r)
		if err != nil {
			continue
		}
		if _, err := peerpb.NewAdmissionClient(conn).Ping(ctx, &peerpb.PingRequest{}); err == nil {
			end(errMoved)
			return
		}
	}
}

// viewChanged makes the session look at its owner's rank again.
func (b *broker) viewChanged() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
