// Package openai defines the subset of the OpenAI API that plantainrun serves:
// completions and chat completions, streamed or not. Source: the OpenAI API
// reference, "Completions" and "Chat".
package openai

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Values of the object field in responses.
const (
	ObjectCompletion = "text_completion"
	ObjectChat       = "chat.completion"
	ObjectChatChunk  = "chat.completion.chunk"
)

// DoneMarker is the data of the last event of a complete stream.
const DoneMarker = "[DONE]"

// Request is the request body of both endpoints.
type Request struct {
	Model         string          `json:"model"`
	Adapter       string          `json:"adapter"`
	Prompt        string          `json:"prompt"`
	Messages      []Message       `json:"messages"`
	MaxTokens     *int            `json:"max_tokens"`
	Stream        bool            `json:"stream"`
	Stop          StringList      `json:"stop"`
	N             *int            `json:"n"`
	StreamOptions json.RawMessage `json:"stream_options"`
}

// Message is one message of a chat request.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. Clients send it as a string or as a list of
// text parts.
type Content string

// UnmarshalJSON accepts a string or a list of parts of type "text".
func (c *Content) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err == nil {
		*c = Content(s)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(b, &parts); err != nil {
		return errors.New("content must be a string or a list of text parts")
	}
	var text strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("content part of type %q is not served, send type \"text\"", p.Type)
		}
		text.WriteString(p.Text)
	}
	*c = Content(text.String())
	return nil
}

// StringList is a list of strings. A single string is decoded as a list of one.
type StringList []string

// UnmarshalJSON accepts null, a string or a list of strings.
func (l *StringList) UnmarshalJSON(b []byte) error {
	var single string
	if err := json.Unmarshal(b, &single); err == nil {
		*l = nil
		if single != "" {
			*l = StringList{single}
		}
		return nil
	}
	var list []string
	if err := json.Unmarshal(b, &list); err != nil {
		return errors.New("stop must be a string or a list of strings")
	}
	*l = list
	return nil
}

// ChatPrompt renders the messages of a chat as one prompt that ends with the
// header of the assistant's message.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString("<|")
		b.WriteString(m.Role)
		b.WriteString("|>\n")
		b.WriteString(string(m.Content))
		b.WriteString("\n")
	}
	b.WriteString("<|assistant|>\n")
	return b.String()
}

// Usage reports the token counts of a request and its response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ResponseMessage is the message of a chat response or, in a stream, a chunk of
// it.
type ResponseMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Choice is one completion or, in a stream, a chunk of it.
type Choice struct {
	Index        int              `json:"index"`
	Text         *string          `json:"text,omitempty"`
	Message      *ResponseMessage `json:"message,omitempty"`
	Delta        *ResponseMessage `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

// Response is a complete response or one event of a stream.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error, whether the request was run, and the remedy.
type ErrorDetail struct {
	Kind              string  `json:"kind"`
	Message           string  `json:"message"`
	Remedy            string  `json:"remedy,omitempty"`
	Run               string  `json:"run"` // "not_run", "ran" or "unknown"
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
	Ticket            string  `json:"ticket,omitempty"`
}
