package jsonscan_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/cyclamenwinch/cyclamenwinch/internal/jsonscan"
)

func TestMembersOfAnyDepth(t *testing.T) {
	const depth = 100_000
	deep := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	members, err := jsonscan.Object([]byte(` { "a" : 1.5, "deep":` + deep + `,"text":"}\"],{" , "null":null} `))
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{"a": "1.5", "deep": deep, "text": `"}\"],{"`, "null": "null"} {
		if string(members[name]) != want {
			t.Errorf("%s: got %.40s", name, members[name])
		}
	}
	elements, err := jsonscan.Array([]byte(`[` + deep + `, {"b":[2]},true ]`))
	if err != nil {
		t.Fatal(err)
	}
	if len(elements) != 3 || string(elements[1]) != `{"b":[2]}` || string(elements[2]) != "true" {
		t.Errorf("got %d elements", len(elements))
	}
}

func TestTextThatIsNoObjectOrArray(t *testing.T) {
	for _, text := range []string{"", "x", "{", "[", `{"a"`, `{"a":`, `{"a":1`, `{"a" 1}`, `{1:2}`, `["a`, `[1 2]`, `[,]`, `{"a":1,}`, "[1}", "null"} {
		if _, err := jsonscan.Object([]byte(text)); err == nil {
			t.Errorf("object %q: no error", text)
		}
		if _, err := jsonscan.Array([]byte(text)); err == nil {
			t.Errorf("array %q: no error", text)
		}
	}
}

// FuzzSplit checks that valid JSON is split as encoding/json decodes it.
func FuzzSplit(f *testing.F) {
	f.Add([]byte(`{"items":[{"metadata":{"name":"a"},"spec":{"b":[1,2]}}],"x":"\"]"}`))
	f.Add([]byte(`[[],{},"",0,-1e9,true,null]`))
	f.Add([]byte(strings.Repeat("[", 20_000)))
	f.Fuzz(func(t *testing.T, data []byte) {
		object, objectErr := jsonscan.Object(data)
		array, arrayErr := jsonscan.Array(data)
		var wantObject map[string]json.RawMessage
		if json.Unmarshal(data, &wantObject) == nil && wantObject != nil {
			if objectErr != nil || !reflect.DeepEqual(object, wantObject) {
				t.Errorf("%q: got %q, %v", data, object, objectErr)
			}
		}
		var wantArray []json.RawMessage
		if json.Unmarshal(data, &wantArray) == nil && wantArray != nil {
			if arrayErr != nil || len(array) != len(wantArray) {
				t.Errorf("%q: got %q, %v", data, array, arrayErr)
			}
		}
	})
}
