package fleet

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"
	"k8s.io/klog/v2"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

const (
	fetchTimeout  = 3 * time.Second
	partsPerFetch = 32 // parts asked for in one message
)

// FetchRoot answers with the root in force if its generation is above the
// one asked for.
func (f *Fleet) FetchRoot(ctx context.Context, in *peerpb.RootRequest) (*peerpb.RootReply, error) {
	return &peerpb.RootReply{Root: f.config.above(in.Above)}, nil
}

// FetchParts answers with the parts asked for that are in force here.
func (f *Fleet) FetchParts(ctx context.Context, in *peerpb.PartsRequest) (*peerpb.PartsReply, error) {
	refs := make([]manifest.Ref, 0, partsPerFetch)
	for _, ref := range in.Refs[:min(len(in.Refs), partsPerFetch)] {
		refs = append(refs, manifest.Ref(ref))
	}
	reply := &peerpb.PartsReply{}
	for ref, value := range f.config.held(refs) {
		reply.Parts = append(reply.Parts, &peerpb.Part{Ref: string(ref), Value: value})
	}
	return reply, nil
}

// fetchFrom takes a newer manifest from a peer, apart from the exchange of
// heartbeats and one at a time.
func (f *Fleet) fetchFrom(r member.Router) {
	if !f.config.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.config.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		if err := f.fetch(ctx, r); err != nil {
			klog.V(1).InfoS("fleet: Manifest not fetched", "peer", r.Name, "err", err)
		}
	}()
}

func (f *Fleet) fetch(ctx context.Context, r member.Router) error {
	conn, err := f.opts.Dialer.Conn(r)
	if err != nil {
		return err
	}
	client := peerpb.NewFleetClient(conn)
	reply, err := client.FetchRoot(ctx, &peerpb.RootRequest{Above: f.config.generation()}, grpc.UseCompressor(gzip.Name))
	if err != nil || len(reply.Root) == 0 {
		return err
	}
	return f.take(ctx, reply.Root, peerParts(client))
}

// peerParts reads parts from a peer.
func peerParts(client peerpb.FleetClient) source {
	return func(ctx context.Context, refs []manifest.Ref) (manifest.Parts, error) {
		parts := manifest.Parts{}
		for len(refs) > 0 {
			n := min(len(refs), partsPerFetch)
			ask := &peerpb.PartsRequest{}
			for _, ref := range refs[:n] {
				ask.Refs = append(ask.Refs, string(ref))
			}
			reply, err := client.FetchParts(ctx, ask, grpc.UseCompressor(gzip.Name))
			if err != nil {
				return nil, err
			}
			for _, p := range reply.Parts {
				parts[manifest.Ref(p.Ref)] = p.Value
			}
			refs = refs[n:]
		}
		return parts, nil
	}
}
