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

// maxChoices is the limit of "n" and "best_of", as in the OpenAI API.
const maxChoices = 128

// inferenceRequest is a request to a path of the OpenAI API.
type inferenceRequest struct {
	path       string
	bodyObject jsonObject
	model      string
	isStream   bool
	// wantsUsage is set if the caller asked for token usage at the end of a stream.
	wantsUsage bool
	// maxTokens limits the generated tokens of each choice. Zero means that the request sets no limit.
	maxTokens int64
	// choices is the number of completions that the engine generates.
	choices int64
	// prompt is the JSON text of the field that holds the input.
	prompt []byte
}

// parseInference parses the body of a request. If it refuses the request, param names the field at fault, if any.
func parseInference(path string, body []byte) (i *inferenceRequest, param string, refusal *arbutusfork.Refusal) {
	var err error
	i = &inferenceRequest{path: path, choices: 1}
	if i.bodyObject, err = parseObject(body); err != nil {
		return nil, "", jsonRefusal(err)
	}
	var options struct {
		Usage bool `json:"include_usage"`
	}
	var maxCompletionTokens, bestOf int64
	for _, f := range []struct {
		name string
		v    any
	}{
		{"model", &i.model},
		{"stream", &i.isStream},
		{"stream_options", &options},
		{"max_tokens", &i.maxTokens},
		{"max_completion_tokens", &maxCompletionTokens},
		{"n", &i.choices},
		{"best_of", &bestOf},
	} {
		if raw := i.bodyObject.get(f.name); raw != nil {
			if err := json.Unmarshal(raw, f.v); err != nil {
				return nil, f.name, arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, f.name+" has the wrong type")
			}
		}
	}
	i.wantsUsage = options.Usage
	i.maxTokens = max(i.maxTokens, maxCompletionTokens)
	i.choices = max(i.choices, bestOf)
	switch {
	case i.model == "":
		return nil, "model", arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, "model is missing")
	case i.maxTokens < 0 || maxCompletionTokens < 0 || i.maxTokens > math.MaxInt32:
		return nil, "max_tokens", arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, "max_tokens is out of range")
	case i.choices < 1 || i.choices > maxChoices:
		return nil, "n", arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, "n is out of range")
	}
	field := map[string]string{pathChat: "messages", pathCompletions: "prompt", pathEmbeddings: "input"}[path]
	i.prompt = i.bodyObject.get(field)
	if len(i.prompt) == 0 {
		return nil, field, arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, field+" is missing")
	}
	return i, "", nil
}

// jsonRefusal returns the refusal for an error of parseObject, with the position of a syntax error.
func jsonRefusal(err error) *arbutusfork.Refusal {
	if errors.Is(err, errNotObject) {
		return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, err.Error())
	}
	if e, ok := errors.Into[*json.SyntaxError](err); ok {
		return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, fmt.Sprintf("invalid JSON at byte %d: %s", e.Offset, e.Error()))
	}
	return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, "invalid JSON")
}

// boundTokens returns upper bounds on the tokens of the prompt and on the generated tokens. Each prompt token covers at
// least one byte. If the request does not limit the generated tokens, boundTokens sets the limit of the route.
func (i *inferenceRequest) boundTokens(route arbutusfork.Route) (prompt, generated int64) {
	prompt = int64(len(i.prompt))
	if i.path == pathEmbeddings {
		return prompt, 0
	}
	if i.maxTokens == 0 {
		i.maxTokens = route.MaxOutputTokens()
		i.bodyObject.set("max_tokens", strconv.AppendInt(nil, i.maxTokens, 10))
	}
	return prompt, i.maxTokens * i.choices
}

// encodeBody returns the body that is sent to an engine. The body is always encoded again, so that the engine reads the
// values that were validated here even if a key occurred twice. Streams always ask for the token usage.
func (i *inferenceRequest) encodeBody() []byte {
	if i.isStream {
		var options jsonObject
		if raw := i.bodyObject.get("stream_options"); raw != nil {
			options, _ = parseObject(raw) // parseInference has checked the type; null becomes an empty object.
		}
		options.set("include_usage", []byte("true"))
		i.bodyObject.set("stream_options", options.encode())
	}
	return i.bodyObject.encode()
}

// tokenMeter counts the tokens of a response.
type tokenMeter struct {
	// reportedTokens is the total usage that the engine reported, or zero if it has not reported any.
	reportedTokens int64
	// relayedTokens is an upper bound on the tokens that reached the caller.
	relayedTokens int64
}

// usageBody holds the fields of a stream event that report token usage.
type usageBody struct {
	Choices []json.RawMessage `json:"choices"`
	Usage   *struct {
		Total int64 `json:"total_tokens"`
	} `json:"usage"`
}

var (
	// usageKey is the key of the usage report in a response.
	usageKey = []byte(`"usage"`)
	// textKeys are the keys of generated text in a stream event, up to the start of the text.
	textKeys = [][]byte{[]byte(`"content":"`), []byte(`"text":"`)}
)

// countEvent counts the tokens of one stream event. It reports whether the event holds token usage only.
func (m *tokenMeter) countEvent(data []byte) (isUsageOnly bool) {
	if bytes.Contains(data, usageKey) {
		var u usageBody
		if json.Unmarshal(data, &u) == nil && u.Usage != nil {
			m.reportedTokens = u.Usage.Total
			if len(u.Choices) == 0 {
				return true
			}
		}
	}
	m.relayedTokens += countTextBytes(data)
	return false
}

// countResponse counts the tokens of a response that is not a stream. An error response without a usage report counts as
// zero.
func (m *tokenMeter) countResponse(status int, body []byte) {
	if status >= http.StatusBadRequest && !bytes.Contains(body, usageKey) {
		return
	}
	var u struct {
		Total int64 `json:"total_tokens"`
	}
	f, err := parseObject(body)
	if raw := f.get("usage"); err == nil && raw != nil && json.Unmarshal(raw, &u) == nil && u.Total > 0 {
		m.reportedTokens = u.Total
		return
	}
	m.relayedTokens += int64(len(body))
}

// countTextBytes returns the length of the generated text in an event, which is an upper bound on its tokens. An event
// without a known text field counts with its whole length.
func countTextBytes(data []byte) int64 {
	for _, f := range textKeys {
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
