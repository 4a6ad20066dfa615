// Package runner is a stand-in for a model runner with continuous batching. It
// admits every request without a limit. It starts cold, and crashes if it gets
// more concurrent requests than it handles while cold. It is for tests and
// demos only.
package runner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Header fields between a router and a model runner.
const (
	RequestIDHeader = "X-Request-Id" // the router's request id, returned in the response
	ResumeHeader    = "Resume-From"  // number of events of the stream already received
	ResumedHeader   = "Resumed"      // "true": the stream continues after these events
)

// Options configure a runner.
type Options struct {
	TokenInterval   time.Duration // time between tokens while warm
	WarmupResponses int           // number of complete responses until the runner is warm
	ColdSlots       int           // concurrent requests that it handles while cold
	StartDuration   time.Duration // restart time after a crash; until then it aborts all chat completion requests
}

// Faults are the injected faults of a runner, set by PUT /faults.
type Faults struct {
	Crash        bool   `json:"crash"`     // abort every chat completion request
	Silent       bool   `json:"silent"`    // stop generating within a response; the connection stays open
	Truncate     bool   `json:"cut_short"` // end streams without the end marker
	TruncateOnce bool   `json:"cut_once"`  // end the next stream without the end marker
	WrongID      bool   `json:"cross"`     // return a wrong request id
	CrashOn      string `json:"crash_on"`  // crash and restart cold when a prompt contains this text
}

// Stats are the counts that the runner keeps itself, as ground truth for tests.
type Stats struct {
	Started     int `json:"started"` // requests received
	Running     int `json:"running"`
	MaxRunning  int `json:"max_running"`
	Responses   int `json:"answers"`
	Crashes     int `json:"crashes"`
	MaxWhenCold int `json:"max_when_cold"` // most concurrent requests while cold
}

// Request is the part of a chat completion request that the runner reads.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage is the cost of a response in tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one alternative in a response.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Chunk is one event of a stream, or the body of a response without streaming.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Server is one model runner.
type Server struct {
	name string
	opts Options

	mu          sync.Mutex
	stats       Stats
	responses   int       // complete responses since the last cold start
	incarnation int       // increases with each crash; requests of earlier incarnations are aborted
	running     int       // requests running in this incarnation
	readyAt     time.Time // end of the restart after a crash
	faults      Faults
}

// NewServer returns a cold runner with the given name.
func NewServer(name string, opts Options) *Server {
	return &Server{name: name, opts: opts}
}

// Handler returns the runner's API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /v1/chat/completions", s.complete)
	mux.HandleFunc("GET /stats", s.getStats)
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("POST /cold", s.postCold)
	return mux
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var req Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Messages) == 0 {
		http.Error(w, "the body must be a JSON request with at least one message", http.StatusBadRequest)
		return
	}
	incarnation, ok := s.startRequest(req)
	defer s.endRequest(incarnation)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	tokens := generate(s.name, req)
	id := r.Header.Get(RequestIDHeader)
	w.Header().Set(RequestIDHeader, s.responseID(id))
	if req.Stream {
		s.stream(w, r, req, id, incarnation, tokens)
	} else {
		s.respond(w, r, req, id, incarnation, tokens)
	}
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, req Request, id string, incarnation int, tokens []string) {
	w.Header().Set("Content-Type", "text/event-stream")
	from := resumeFrom(r, len(tokens))
	if from > 0 {
		w.Header().Set(ResumedHeader, "true")
	}
	controller := http.NewResponseController(w)
	for i, token := range tokens[from:] {
		if !s.waitToken(r, incarnation, i) {
			panic(http.ErrAbortHandler)
		}
		if s.truncates(i) {
			return
		}
		send(w, Chunk{ID: id, Object: "chat.completion.chunk", Model: req.Model,
			Choices: []Choice{{Delta: &Message{Role: "assistant", Content: token}}}})
		controller.Flush()
	}
	stop := "stop"
	send(w, Chunk{ID: id, Object: "chat.completion.chunk", Model: req.Model,
		Choices: []Choice{{Delta: &Message{}, FinishReason: &stop}}, Usage: usage(req, tokens)})
	fmt.Fprint(w, "data: [DONE]\n\n")
	s.recordResponse()
}

// respond sends the response as one JSON document, without streaming.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, req Request, id string, incarnation int, tokens []string) {
	text := ""
	for i, token := range tokens {
		if !s.waitToken(r, incarnation, i) {
			panic(http.ErrAbortHandler)
		}
		text += token
	}
	stop := "stop"
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(Chunk{ID: id, Object: "chat.completion", Model: req.Model,
		Choices: []Choice{{Message: &Message{Role: "assistant", Content: text}, FinishReason: &stop}},
		Usage:   usage(req, tokens)})
	s.recordResponse()
}

func (s *Server) getStats(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s.stats)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) postCold(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses = 0
}
