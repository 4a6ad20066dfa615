// Package submit stores a manifest in the platform, as immutable parts and a root
// object that refers to them. A manifest is accepted when a conditional write of
// its root object is committed. If two operators submit concurrently, one succeeds
// and the other gets an error that lists what changed.
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
	maxWriteAttempts = 5 // attempts per write; the response to an attempt may be lost
	retryDelay       = 100 * time.Millisecond
	maxShownDiffs    = 20 // differences listed in an error
	ordersPrefix     = "orders/"
)

// Parse decodes and checks a manifest. It rejects unknown fields. The error of a
// failed check lists every fault.
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

// Submit stores m as the next generation and returns its number. m.Generation
// must be the generation in force, or 0 for any. If the result of its write is
// uncertain, Submit reads the root again to determine whether m was accepted.
func Submit(ctx context.Context, p *platform.Client, m *manifest.Manifest) (int64, error) {
	base, err := loadConfirmed(ctx, p)
	if err != nil {
		return 0, err
	}
	if m.Generation != 0 && m.Generation != base.root.Generation {
		return 0, conflictError(fmt.Sprintf("generation %d is in force, not %d; differences between it and this manifest", base.root.Generation, m.Generation), base.manifest, m)
	}
	if err := checkUpdate(ctx, p, base, m); err != nil {
		return 0, err
	}
	token := newToken()
	root, parts, err := manifest.Split(m, base.root, token, base.era)
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

// Current returns the stored manifest and the version of its root object, or an
// empty manifest and version 0 if there is none.
func Current(ctx context.Context, p *platform.Client) (*manifest.Manifest, int64, error) {
	s, err := loadStored(ctx, p)
	if err != nil {
		return nil, 0, err
	}
	return s.manifest, s.version, nil
}

// commitRoot writes the root and returns its generation. The platform's version
// check alone decides whether it is accepted: a repeated write either commits or
// conflicts with the version written by another submission or by its own earlier
// attempt.
func commitRoot(ctx context.Context, p *platform.Client, base *stored, root *manifest.Root, token string) (int64, error) {
	value, err := json.Marshal(root)
	if err != nil {
		return 0, errors.Wrap(err, "encode root")
	}
	uncertain := false
	for range maxWriteAttempts {
		_, err = p.Put(ctx, fleet.ManifestKey, value, base.version)
		if err == nil {
			return root.Generation, nil
		}
		uncertain = uncertain || errors.Is(err, platform.ErrUncertain)
		if errors.Is(err, platform.ErrConflict) {
			var generation int64
			if generation, err = readOutcome(ctx, p, base, token, uncertain); err == nil || code.Is(err, code.Conflict) {
				return generation, err
			}
		}
		pause(ctx)
	}
	return 0, code.Fail(code.SubmitUnknown, err.Error())
}

// readOutcome reads the root again to determine whether the submission was
// accepted. It returns the submission's generation. uncertain says that a write of
// it may have taken effect.
func readOutcome(ctx context.Context, p *platform.Client, base *stored, token string, uncertain bool) (int64, error) {
	now, err := loadStored(ctx, p)
	if err != nil {
		return 0, err
	}
	generation, known := now.root.Outcome(token, base.root.Generation)
	if generation > 0 {
		return generation, nil
	}
	if now.era != base.era && uncertain {
		return 0, code.Fail(code.SubmitUnknown, "the platform was restored from an older copy during the submission")
	}
	if !known {
		return 0, code.Fail(code.SubmitUnknown, fmt.Sprintf("generation %d is in force, and its list of submissions does not go back to this one", now.root.Generation))
	}
	what := fmt.Sprintf("generation %d was accepted after generation %d; its changes", now.root.Generation, base.root.Generation)
	return 0, conflictError(what, base.manifest, now.manifest)
}

// checkUpdate rejects changes to fields that may not change while orders are
// recorded.
func checkUpdate(ctx context.Context, p *platform.Client, base *stored, m *manifest.Manifest) error {
	faults := manifest.CheckUpdate(base.manifest, m)
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
