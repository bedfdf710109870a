package afentry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
)

// maxChoices bounds the answers that one request may ask for, as the OpenAI interface does.
const maxChoices = 128

// inference is a request of an OpenAI endpoint.
type inference struct {
	path   string
	fields fields
	model  string
	stream bool
	// usage tells that the caller asked for the usage of a stream.
	usage bool
	// max is the bound on generated tokens, or zero if the request sets none.
	max     int64
	choices int64
	prompt  []byte
}

// parseInference reads the body of a request. The param is the field at fault.
func parseInference(path string, body []byte) (i *inference, param string, refusal *arbutusfork.Refusal) {
	var err error
	i = &inference{path: path, choices: 1}
	if i.fields, err = splitObject(body); err != nil {
		return nil, "", badJSON(err)
	}
	var options struct {
		Usage bool `json:"include_usage"`
	}
	var newer, best int64
	for _, f := range []struct {
		name string
		v    any
	}{
		{"model", &i.model},
		{"stream", &i.stream},
		{"stream_options", &options},
		{"max_tokens", &i.max},
		{"max_completion_tokens", &newer},
		{"n", &i.choices},
		{"best_of", &best},
	} {
		if raw := i.fields.get(f.name); raw != nil {
			if err := json.Unmarshal(raw, f.v); err != nil {
				return nil, f.name, arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, f.name+" has the wrong type")
			}
		}
	}
	i.usage = options.Usage
	i.max = max(i.max, newer)
	i.choices = max(i.choices, best)
	switch {
	case i.model == "":
		return nil, "model", arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, "model is missing")
	case i.max < 0 || newer < 0 || i.max > math.MaxInt32:
		return nil, "max_tokens", arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, "max_tokens is out of range")
	case i.choices < 1 || i.choices > maxChoices:
		return nil, "n", arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, "n is out of range")
	}
	field := map[string]string{pathChat: "messages", pathText: "prompt", pathEmbeddings: "input"}[path]
	i.prompt = i.fields.get(field)
	if len(i.prompt) == 0 {
		return nil, field, arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, field+" is missing")
	}
	return i, "", nil
}

// badJSON names the position of a syntax error.
func badJSON(err error) *arbutusfork.Refusal {
	if errors.Is(err, errNotObject) {
		return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, err.Error())
	}
	if e, ok := errors.Into[*json.SyntaxError](err); ok {
		return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, fmt.Sprintf("invalid JSON at byte %d: %s", e.Offset, e.Error()))
	}
	return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, "invalid JSON")
}

// tokens returns the bound on the tokens of the request. A token covers at least one byte of the prompt.
func (i *inference) tokens(route arbutusfork.Route) (prompt, generated int64) {
	prompt = int64(len(i.prompt))
	if i.path == pathEmbeddings {
		return prompt, 0
	}
	if i.max == 0 {
		i.max = route.MaxOutputTokens()
		i.fields.set("max_tokens", strconv.AppendInt(nil, i.max, 10))
	}
	return prompt, i.max * i.choices
}

// body returns the request as it is sent to an engine. It is always written anew, so that the engine reads the
// same values that were checked here even if a field came twice. Streams always ask for the usage.
func (i *inference) body() []byte {
	if i.stream {
		var options fields
		if raw := i.fields.get("stream_options"); raw != nil {
			options, _ = splitObject(raw) // The type was checked before; null becomes an empty object.
		}
		options.set("include_usage", []byte("true"))
		i.fields.set("stream_options", options.encode())
	}
	return i.fields.encode()
}

// meter counts the tokens of an answer.
type meter struct {
	// total is the usage that the engine reported. Zero means none yet.
	total int64
	// relayed is an upper bound on the tokens that reached the caller.
	relayed int64
}

type usageBody struct {
	Choices []json.RawMessage `json:"choices"`
	Usage   *struct {
		Total int64 `json:"total_tokens"`
	} `json:"usage"`
}

var (
	usageField = []byte(`"usage"`)
	textFields = [][]byte{[]byte(`"content":"`), []byte(`"text":"`)}
)

// event counts one event of a stream. It reports whether the event holds only the usage.
func (m *meter) event(data []byte) (extra bool) {
	if bytes.Contains(data, usageField) {
		var u usageBody
		if json.Unmarshal(data, &u) == nil && u.Usage != nil {
			m.total = u.Usage.Total
			if len(u.Choices) == 0 {
				return true
			}
		}
	}
	m.relayed += textBytes(data)
	return false
}

// whole counts an answer that is not a stream. A request that an engine refused has used nothing.
func (m *meter) whole(status int, body []byte) {
	if status >= http.StatusBadRequest && !bytes.Contains(body, usageField) {
		return
	}
	var u struct {
		Total int64 `json:"total_tokens"`
	}
	f, err := splitObject(body)
	if raw := f.get("usage"); err == nil && raw != nil && json.Unmarshal(raw, &u) == nil && u.Total > 0 {
		m.total = u.Total
		return
	}
	m.relayed += int64(len(body))
}

// textBytes returns the length of the generated text in an event, which bounds its tokens. Events in another
// form count in full.
func textBytes(data []byte) int64 {
	for _, f := range textFields {
		_, rest, ok := bytes.Cut(data, f)
		if !ok {
			continue
		}
		for n := 0; n < len(rest); n++ {
			switch rest[n] {
			case '\\':
				n++
			case '"':
				return int64(n)
			}
		}
	}
	return int64(len(data))
}
