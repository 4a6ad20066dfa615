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
	partsPerFetch = 32 // maximum number of parts in one request
)

// FetchRoot returns the root in force if its generation is higher than the one
// in the request.
func (f *Fleet) FetchRoot(ctx context.Context, in *peerpb.RootRequest) (*peerpb.RootReply, error) {
	return &peerpb.RootReply{Root: f.config.rootAbove(in.Above)}, nil
}

// FetchParts returns those of the requested parts that belong to the manifest in
// force, considering at most partsPerFetch of them.
func (f *Fleet) FetchParts(ctx context.Context, in *peerpb.PartsRequest) (*peerpb.PartsReply, error) {
	refs := make([]manifest.Ref, 0, partsPerFetch)
	for _, ref := range in.Refs[:min(len(in.Refs), partsPerFetch)] {
		refs = append(refs, manifest.Ref(ref))
	}
	reply := &peerpb.PartsReply{}
	for ref, value := range f.config.knownParts(refs) {
		reply.Parts = append(reply.Parts, &peerpb.Part{Ref: string(ref), Value: value})
	}
	return reply, nil
}

// fetchInBackground fetches a newer manifest from a peer without delaying the
// exchange of heartbeats. At most one fetch is in progress.
func (f *Fleet) fetchInBackground(r member.Router) {
	if !f.config.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.config.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		if err := f.fetchManifest(ctx, r); err != nil {
			klog.V(1).InfoS("fleet: Failed to fetch manifest from peer", "peer", r.Name, "err", err)
		}
	}()
}

func (f *Fleet) fetchManifest(ctx context.Context, r member.Router) error {
	conn, err := f.opts.Dialer.Conn(r)
	if err != nil {
		return err
	}
	client := peerpb.NewFleetClient(conn)
	reply, err := client.FetchRoot(ctx, &peerpb.RootRequest{Above: f.config.generation()}, grpc.UseCompressor(gzip.Name))
	if err != nil || len(reply.Root) == 0 {
		return err
	}
	return f.applyRoot(ctx, reply.Root, peerPartSource(client))
}

// peerPartSource returns a source that reads parts from a peer.
func peerPartSource(client peerpb.FleetClient) partSource {
	return func(ctx context.Context, refs []manifest.Ref) (manifest.Parts, error) {
		parts := manifest.Parts{}
		for len(refs) > 0 {
			n := min(len(refs), partsPerFetch)
			request := &peerpb.PartsRequest{}
			for _, ref := range refs[:n] {
				request.Refs = append(request.Refs, string(ref))
			}
			reply, err := client.FetchParts(ctx, request, grpc.UseCompressor(gzip.Name))
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
