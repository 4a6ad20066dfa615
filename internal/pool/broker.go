package pool

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

const reopenPause = 100 * time.Millisecond

// link is a session with an owner, over gRPC or within this process.
type link interface {
	Send(*peerpb.AdmitRequest) error
	Recv() (*peerpb.AdmitReply, error)
	Close()
}

// broker keeps the session of one scope.
type broker struct {
	client *Client
	scope  string

	mu      sync.Mutex
	link    link
	owner   string
	pending map[uint64]*pending
	held    map[uint64]*peerpb.Held
}

type pending struct {
	want   *peerpb.Want
	result chan result // buffered
}

type result struct {
	endpoint string
	err      error
}

func newBroker(c *Client, scope string) *broker {
	return &broker{client: c, scope: scope, pending: map[uint64]*pending{}, held: map[uint64]*peerpb.Held{}}
}

func (b *broker) acquire(ctx context.Context, seq uint64, req Request) (*Slot, error) {
	p := &pending{
		want: &peerpb.Want{
			Seq:         seq,
			Account:     req.Account,
			Estimate:    float64(req.Estimate),
			Zone:        b.client.fleet.Self().Zone,
			Prefix:      req.Prefix,
			Fingerprint: req.Fingerprint,
			Avoid:       req.Avoid,
		},
		result: make(chan result, 1),
	}
	b.mu.Lock()
	b.pending[seq] = p
	b.send(&peerpb.AdmitRequest{Wants: []*peerpb.Want{p.want}})
	b.mu.Unlock()
	select {
	case r := <-p.result:
		return b.slot(seq, r)
	case <-ctx.Done():
		b.cancel(seq, p)
		return nil, code.Refuse(code.CallerLeft, "")
	}
}

func (b *broker) slot(seq uint64, r result) (*Slot, error) {
	if r.err != nil {
		return nil, r.err
	}
	return &Slot{Endpoint: r.endpoint, broker: b, seq: seq}, nil
}

// cancel withdraws a request, or gives back the slot that it got meanwhile.
func (b *broker) cancel(seq uint64, p *pending) {
	b.mu.Lock()
	_, waiting := b.pending[seq]
	delete(b.pending, seq)
	if waiting {
		b.send(&peerpb.AdmitRequest{Cancels: []uint64{seq}})
	}
	b.mu.Unlock()
	if !waiting {
		if r := <-p.result; r.err == nil {
			b.release(&peerpb.Release{Seq: seq, Outcome: uint32(admission.Cancelled)})
		}
	}
}

func (b *broker) release(r *peerpb.Release) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.held, r.Seq)
	b.send(&peerpb.AdmitRequest{Releases: []*peerpb.Release{r}})
}

// send writes to the session if there is one; a new session starts with a
// full report, so nothing needs to be kept. The caller holds mu.
func (b *broker) send(req *peerpb.AdmitRequest) {
	if b.link == nil {
		return
	}
	if err := b.link.Send(req); err != nil {
		b.link.Close()
		b.link = nil
	}
}

// run keeps a session open until the context ends. If the owner can't be
// reached it tries the router next in rank.
func (b *broker) run(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		ranked := b.client.fleet.View().Rank(OwnerKey(b.scope))
		owner := ranked[attempt%len(ranked)]
		if b.session(ctx, owner) {
			attempt = -1
		}
		select {
		case <-ctx.Done():
		case <-time.After(reopenPause):
		}
	}
}

// session runs one session; it reports whether the owner ever answered or
// was left for a new owner.
func (b *broker) session(ctx context.Context, owner member.Router) bool {
	l, err := b.open(ctx, owner)
	if err != nil {
		klog.V(1).InfoS("pool: Session not opened", "scope", b.scope, "owner", owner.Name, "err", err)
		return false
	}
	defer l.Close()
	if err := b.start(l, owner.Name); err != nil {
		return false
	}
	answered := false
	for {
		reply, err := l.Recv()
		if err != nil {
			klog.V(1).InfoS("pool: Session ended", "scope", b.scope, "owner", owner.Name, "err", err)
			b.drop(l)
			return answered || b.moved(owner.Name)
		}
		answered = true
		b.take(reply)
	}
}

func (b *broker) open(ctx context.Context, owner member.Router) (link, error) {
	if owner.Name == b.client.fleet.Self().Name {
		return b.client.host.open(b.scope, owner.Name), nil
	}
	conn, err := b.client.dialer.Conn(owner)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := peerpb.NewAdmissionClient(conn).Admit(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	return &remote{Admission_AdmitClient: stream, cancel: cancel}, nil
}

// remote is a session over gRPC.
type remote struct {
	peerpb.Admission_AdmitClient
	cancel context.CancelFunc
}

// Close ends the session at once.
func (r *remote) Close() { r.cancel() }

// start reports what this router holds and wants.
func (b *broker) start(l link, owner string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := &peerpb.AdmitRequest{Scope: b.scope, Router: b.client.fleet.Self().Name, Sync: true}
	for _, h := range b.held {
		first.Held = append(first.Held, h)
	}
	for _, p := range b.pending {
		first.Wants = append(first.Wants, p.want)
	}
	b.link, b.owner = l, owner
	if err := l.Send(first); err != nil {
		b.link = nil
		return err
	}
	return nil
}

func (b *broker) drop(l link) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.link == l {
		b.link = nil
	}
}

func (b *broker) moved(owner string) bool {
	first, ok := b.client.fleet.View().Owner(OwnerKey(b.scope))
	return ok && first.Name != owner
}

// checkOwner ends the session if another router owns the scope now.
func (b *broker) checkOwner() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.link != nil && b.moved(b.owner) {
		l := b.link
		b.link = nil
		go l.Close()
	}
}

// take hands the owner's decisions to the waiting requests.
func (b *broker) take(reply *peerpb.AdmitReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, g := range reply.Grants {
		p, ok := b.pending[g.Seq]
		if !ok {
			b.send(&peerpb.AdmitRequest{Releases: []*peerpb.Release{{Seq: g.Seq, Outcome: uint32(admission.Cancelled)}}})
			continue
		}
		delete(b.pending, g.Seq)
		b.held[g.Seq] = &peerpb.Held{Seq: g.Seq, Endpoint: g.Endpoint, Account: p.want.Account, Charged: p.want.Estimate}
		p.result <- result{endpoint: g.Endpoint}
	}
	for _, x := range reply.Refusals {
		p, ok := b.pending[x.Seq]
		if !ok {
			continue
		}
		delete(b.pending, x.Seq)
		refusal := code.Refuse(code.Code(x.Code), "")
		refusal.RetryAfter = time.Duration(x.RetryAfterMillis) * time.Millisecond
		p.result <- result{err: refusal}
	}
}
