package strictjson

import "testing"

type part struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

type document struct {
	Parts []part         `json:"parts"`
	Sizes map[string]int `json:"sizes"`
	Flag  bool           `json:"flag"`
}

func TestDecodeRefuses(t *testing.T) {
	for _, test := range []struct{ raw, want string }{
		{"", "line 1: the document is empty"},
		{" \n", "line 1: the document is empty"},
		{`{"flag":`, "line 1: the document ends in the middle of a value"},
		{"{\n\"flag\": tru}", "line 2: invalid JSON: invalid character '}' in literal true (expecting 'e')"},
		{"{\n\"flags\": true}", "line 2: flags: there is no such field"},
		{`{"flag": "yes"}`, "line 1: flag: found a JSON string, expected true or false"},
		{`{"parts": {}}`, "line 1: parts: found a JSON object, expected a list"},
		{`{"sizes": []}`, "line 1: sizes: found a JSON array, expected an object"},
		{"{\"parts\": [\n{\"count\": 1.5}]}", "line 2: parts.count: found a JSON number 1.5, expected a number of type int"},
		{"{}\n{}", "line 2: unexpected data after the end of the value"},
		{"{} ]", "line 1: unexpected data after the end of the value"},
		{"{\"flag\": true,\n\"flag\": false}", "line 2: flag: the field appears twice in one object"},
		{`{"parts": [{"name": "a", "Name": "b"}]}`, "line 1: parts.Name: the field appears twice in one object"},
		{`{"sizes": {"a": 1, "a": 2}}`, "line 1: sizes.a: the field appears twice in one object"},
		{`{"sizes": {"": 1, "": 2}}`, `line 1: sizes."": the field appears twice in one object`},
	} {
		err := Decode([]byte(test.raw), &document{})
		if err == nil || err.Error() != test.want {
			t.Errorf("%q:\n got %v\nwant %s", test.raw, err, test.want)
		}
	}
}

func TestDecodeAccepts(t *testing.T) {
	raw := `{"parts": [{"name": "parts"}, {"name": "parts", "count": 2}], "sizes": {"name": 1, "flag": 2}, "flag": true}` + "\n"
	var got document
	if err := Decode([]byte(raw), &got); err != nil {
		t.Fatal(err)
	}
	if len(got.Parts) != 2 || got.Parts[1].Count != 2 || got.Sizes["flag"] != 2 || !got.Flag {
		t.Fatalf("decoded %+v", got)
	}
}
