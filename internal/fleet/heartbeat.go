package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/fair"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// KeepHeartbeats exchanges heartbeats with the other routers until the
// context ends.
func (f *Fleet) KeepHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(f.opts.Heartbeat)
	defer ticker.Stop()
	for {
		for _, r := range f.View().Routers {
			if r.Name != f.opts.Self.Name {
				go f.beat(ctx, r)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Heartbeat answers another router's heartbeat.
func (f *Fleet) Heartbeat(ctx context.Context, in *peerpb.HeartbeatMessage) (*peerpb.HeartbeatMessage, error) {
	f.hear(in)
	return f.message(), nil
}

// FetchManifest answers with the manifest in force if its generation is
// above the one asked for.
func (f *Fleet) FetchManifest(ctx context.Context, in *peerpb.ManifestRequest) (*peerpb.ManifestReply, error) {
	m := f.Manifest()
	if generation(m) <= in.Above {
		return &peerpb.ManifestReply{}, nil
	}
	data, err := json.Marshal(m)
	return &peerpb.ManifestReply{Manifest: data}, errors.Wrap(err, "encode manifest")
}

func (f *Fleet) beat(ctx context.Context, r member.Router) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.Heartbeat)
	defer cancel()
	conn, err := f.opts.Dialer.Conn(r)
	if err != nil {
		klog.V(1).InfoS("fleet: Heartbeat not sent", "peer", r.Name, "err", err)
		return
	}
	client := peerpb.NewFleetClient(conn)
	reply, err := client.Heartbeat(ctx, f.message())
	if err != nil {
		klog.V(2).InfoS("fleet: Heartbeat not answered", "peer", r.Name, "err", err)
		return
	}
	f.hear(reply)
	if reply.Generation > generation(f.Manifest()) {
		f.fetch(ctx, client)
	}
}

// fetch takes a newer manifest from a peer.
func (f *Fleet) fetch(ctx context.Context, client peerpb.FleetClient) {
	reply, err := client.FetchManifest(ctx, &peerpb.ManifestRequest{Above: generation(f.Manifest())})
	if err != nil || len(reply.Manifest) == 0 {
		return
	}
	var m manifest.Manifest
	if err := json.Unmarshal(reply.Manifest, &m); err != nil {
		klog.ErrorS(err, "fleet: Peer sent an unreadable manifest")
		return
	}
	f.Adopt(&m)
}

func (f *Fleet) message() *peerpb.HeartbeatMessage {
	self := f.Self()
	msg := &peerpb.HeartbeatMessage{
		Name:        self.Name,
		Incarnation: self.Incarnation,
		Leaving:     self.Leaving,
		Generation:  generation(f.Manifest()),
		Load:        uint32(f.opts.Load()),
		Clock:       f.opts.Events.Clock().Now(),
	}
	for account, cost := range f.opts.Usage() {
		msg.Usage = append(msg.Usage, &peerpb.Usage{Account: account, Cost: float64(cost)})
	}
	return msg
}

// hear takes in a heartbeat of a router whose lease is known.
func (f *Fleet) hear(in *peerpb.HeartbeatMessage) {
	f.opts.Events.Clock().Observe(in.Clock)
	f.mu.Lock()
	s, known := f.seen[in.Name]
	if known && in.Incarnation >= s.router.Incarnation {
		for _, u := range in.Usage {
			key := usageKey{router: in.Name, incarnation: in.Incarnation, account: u.Account}
			f.usage[key] = max(f.usage[key], fair.Cost(u.Cost))
		}
	}
	f.mu.Unlock()
	if !known {
		return
	}
	r := s.router
	r.Incarnation = in.Incarnation
	r.Leaving = in.Leaving
	r.Load = int(in.Load)
	f.see(r, in.Generation, time.Now())
}
