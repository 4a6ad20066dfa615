// Package submit stores a manifest in the platform. Accepted means that one
// conditional write of the root has committed; of two operators that race,
// one wins and the other is told what changed.
package submit

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/fleet"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
)

const (
	tokenBytes       = 8
	maxWriteAttempts = 5 // of a write whose answer was lost
	retryDelay       = 100 * time.Millisecond
	maxShownDiffs    = 20 // differences named in an error
	ordersPrefix     = "orders/"
)

// Parse reads and checks a manifest; unknown fields are refused. The error
// names every fault.
func Parse(data []byte) (*manifest.Manifest, error) {
	var m manifest.Manifest
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&m); err != nil {
		return nil, code.Refuse(code.BadManifest, err.Error())
	}
	if faults := m.Check(); len(faults) > 0 {
		return nil, manifestError(faults)
	}
	return &m, nil
}

// Submit stores m as the next generation and returns it. If m names a
// generation, that must be the one in force; 0 stands for any. After a lost
// answer it reads back what became of its own write.
func Submit(ctx context.Context, p *platform.Client, m *manifest.Manifest) (int64, error) {
	base, err := loadStored(ctx, p)
	if err != nil {
		return 0, err
	}
	if m.Generation != 0 && m.Generation != base.root.Generation {
		return 0, conflictError(fmt.Sprintf("generation %d is in force, not %d; from it to this manifest", base.root.Generation, m.Generation), base.manifest, m)
	}
	if err := checkUpdate(ctx, p, base, m); err != nil {
		return 0, err
	}
	token := newToken()
	root, parts, err := manifest.Split(m, base.root, token)
	if err != nil {
		return 0, err
	}
	if err := writeParts(ctx, p, parts); err != nil {
		return 0, err
	}
	generation, err := commitRoot(ctx, p, base, root, token)
	switch {
	case err == nil:
		deleteParts(ctx, p, append(root.Dropped, base.root.Dropped...))
	case code.Is(err, code.Conflict):
		deleteParts(ctx, p, refs(parts))
	}
	return generation, err
}

// Current returns the stored manifest and the version of its root; a zero
// manifest and version 0 if there is none.
func Current(ctx context.Context, p *platform.Client) (*manifest.Manifest, int64, error) {
	s, err := loadStored(ctx, p)
	if err != nil {
		return nil, 0, err
	}
	return s.manifest, s.version, nil
}

// commitRoot writes the root. Only the platform's version check decides: a
// repeated write either commits once or meets the version that another one,
// perhaps its own first try, has left.
func commitRoot(ctx context.Context, p *platform.Client, base *stored, root *manifest.Root, token string) (int64, error) {
	value, err := json.Marshal(root)
	if err != nil {
		return 0, errors.Wrap(err, "encode root")
	}
	for range maxWriteAttempts {
		_, err = p.Put(ctx, fleet.ManifestKey, value, base.version)
		if err == nil {
			return root.Generation, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			var generation int64
			if generation, err = readOutcome(ctx, p, base, token); err == nil || code.Is(err, code.Conflict) {
				return generation, err
			}
		}
		pause(ctx)
	}
	return 0, code.Fail(code.SubmitUnknown, err.Error())
}

// readOutcome reads back whether the submission was accepted.
func readOutcome(ctx context.Context, p *platform.Client, base *stored, token string) (int64, error) {
	now, err := loadStored(ctx, p)
	if err != nil {
		return 0, err
	}
	generation, known := now.root.Outcome(token, base.root.Generation)
	if generation > 0 {
		return generation, nil
	}
	if !known {
		return 0, code.Fail(code.SubmitUnknown, fmt.Sprintf("generation %d is in force, too far on to tell", now.root.Generation))
	}
	what := fmt.Sprintf("generation %d was accepted after generation %d; it changed", now.root.Generation, base.root.Generation)
	return 0, conflictError(what, base.manifest, now.manifest)
}

// checkUpdate refuses changes that recorded orders don't allow.
func checkUpdate(ctx context.Context, p *platform.Client, base *stored, m *manifest.Manifest) error {
	faults := manifest.ValidateUpdate(base.manifest, m)
	if base.version == 0 || len(faults) == 0 {
		return nil
	}
	orders, err := p.List(ctx, ordersPrefix)
	if err != nil {
		return code.Fail(code.PlatformError, err.Error())
	}
	if len(orders.Items) == 0 {
		return nil
	}
	return manifestError(faults)
}

func manifestError(faults []manifest.Fault) error {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return code.Refuse(code.BadManifest, strings.Join(lines, "\n"))
}

func conflictError(what string, old, new *manifest.Manifest) error {
	lines := []string{what + ":"}
	differences := manifest.Diff(old, new)
	for _, d := range differences[:min(len(differences), maxShownDiffs)] {
		lines = append(lines, d.String())
	}
	if hidden := len(differences) - maxShownDiffs; hidden > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", hidden))
	}
	return code.Fail(code.Conflict, strings.Join(lines, "\n"))
}

func newToken() string {
	random := make([]byte, tokenBytes)
	rand.Read(random)
	return hex.EncodeToString(random)
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryDelay):
	}
}
