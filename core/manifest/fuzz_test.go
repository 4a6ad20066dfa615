package manifest_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/cyclamenwinch/cyclamenwinch/core/manifest"
)

// FuzzManifest checks that Check doesn't panic on any input, and that a valid
// manifest is unchanged after it was split into parts and joined again.
func FuzzManifest(f *testing.F) {
	files, err := filepath.Glob("../../examples/*/manifest.json")
	if err != nil || len(files) == 0 {
		f.Fatal("no example manifests found:", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"zones":[{"name":"z","region":"r","state":"in"}],"accounts":[{"name":"a","share":1e308,"max_queue":1,"max_wait_millis":1}],"pools":[{"name":"p","kind":"service","path":"//"}],"orders":{"shards":1,"retention_hours":1}}`))
	f.Add([]byte(`{"zones":null,"endpoints":[{"url":"http://[::1]:80","slots":-1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m manifest.Manifest
		if json.Unmarshal(data, &m) != nil || len(m.Check()) > 0 {
			return
		}
		root, parts, err := manifest.Split(&m, nil, "t", 1)
		if err != nil {
			t.Fatal(err)
		}
		joined, err := root.Join(parts)
		if err != nil {
			t.Fatal(err)
		}
		if d := manifest.Diff(&m, joined); len(d) > 0 {
			t.Fatalf("manifest differs after Split and Join: %v", d)
		}
	})
}
