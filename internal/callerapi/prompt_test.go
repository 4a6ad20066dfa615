package callerapi

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
)

func decodePrompt(t *testing.T, messages string, maxCount int) (prompt, error) {
	t.Helper()
	p := prompt{maxCount: maxCount}
	err := json.Unmarshal([]byte(messages), &p)
	return p, err
}

// TestPromptOfMessages guards against prompts whose tokens, affinity or quarantine follow
// from other messages than the caller's.
func TestPromptOfMessages(t *testing.T) {
	p, err := decodePrompt(t, ` [ {"role":"system","content":"be \u0062rief"} , {}, {"content":"`+strings.Repeat("x", 300)+`"},{"role":"user","content":null}]`, 4)
	if err != nil || p.count != 4 || p.chars != len("be brief")+300 {
		t.Errorf("%d messages of %d bytes, %v", p.count, p.chars, err)
	}
	if want := "be brief" + strings.Repeat("x", prefixBytes-len("be brief")); string(p.prefix) != want {
		t.Errorf("prefix %q", p.prefix)
	}
	want := []uint64{fingerprint([]byte("system"), []byte("be brief")), fingerprint(nil, nil), fingerprint(nil, []byte(strings.Repeat("x", 300)))}
	if got := p.sharedParts(); !slices.Equal(got, want) {
		t.Errorf("shared parts %v, want %v", got, want)
	}
	single, err := decodePrompt(t, `[{"content":"x"}]`, 1)
	if err != nil || len(single.sharedParts()) != 0 {
		t.Errorf("a single message has the shared parts %v, %v", single.sharedParts(), err)
	}
	if none, err := decodePrompt(t, `null`, 1); err != nil || none.count != 0 {
		t.Errorf("null: %d messages, %v", none.count, err)
	}
}

// TestPromptOfManyMessages guards against memory that grows with the number of messages.
func TestPromptOfManyMessages(t *testing.T) {
	many := "[" + strings.Repeat(`{"role":"user","content":"x"},`, 999) + "{}]"
	if p, err := decodePrompt(t, many, 1000); err != nil || p.count != 1000 || len(p.parts) > maxPromptParts || len(p.prefix) > prefixBytes {
		t.Errorf("%d messages, %d parts, %d bytes of prefix, %v", p.count, len(p.parts), len(p.prefix), err)
	}
	if _, err := decodePrompt(t, many, 999); err == nil || !strings.Contains(err.Error(), "max_messages") {
		t.Errorf("over the limit: %v", err)
	}
	for _, invalid := range []string{`"x"`, `{}`, `[1]`, `[{"content":1}]`, `["x"]`} {
		if _, err := decodePrompt(t, invalid, 10); err == nil {
			t.Error(fmt.Sprint(invalid, " is accepted"))
		}
	}
}
