// Package submit stores a manifest in the platform. Accepted means that one
// conditional write has committed; of two operators that race, one wins and
// the other is told.
package submit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
	"github.com/cyclamenwinch/cyclamenwinch/internal/fleet"
	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
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
	faults := m.Check()
	if len(faults) == 0 {
		return &m, nil
	}
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return nil, code.Refuse(code.BadManifest, strings.Join(lines, "\n"))
}

// Submit stores m as the next generation and returns it. If m names a
// generation, that must be the one in force; 0 stands for any.
func Submit(ctx context.Context, p *platform.Client, m *manifest.Manifest) (int64, error) {
	current, version, err := Current(ctx, p)
	if err != nil {
		return 0, err
	}
	if m.Generation != 0 && m.Generation != current.Generation {
		return 0, code.Fail(code.Conflict, fmt.Sprintf("generation %d is in force, not %d", current.Generation, m.Generation))
	}
	next := *m
	next.Generation = current.Generation + 1
	value, err := json.Marshal(&next)
	if err != nil {
		return 0, errors.Wrap(err, "encode manifest")
	}
	_, err = p.Put(ctx, fleet.ManifestKey, value, version)
	switch {
	case err == nil:
		return next.Generation, nil
	case errors.Is(err, platform.ErrConflict):
		return 0, code.Fail(code.Conflict, fmt.Sprintf("another change was accepted after generation %d", current.Generation))
	}
	return 0, code.Fail(code.SubmitUnknown, err.Error())
}

// Current returns the stored manifest and its version; a zero manifest and
// version 0 if there is none.
func Current(ctx context.Context, p *platform.Client) (*manifest.Manifest, int64, error) {
	var m manifest.Manifest
	o, err := p.Get(ctx, fleet.ManifestKey)
	if errors.Is(err, platform.ErrNotFound) {
		return &m, 0, nil
	}
	if err != nil {
		return nil, 0, code.Fail(code.PlatformError, err.Error())
	}
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return nil, 0, code.Fail(code.BadManifest, "the stored manifest can't be read: "+err.Error())
	}
	return &m, o.Version, nil
}
