// Package runner is a stand-in for a model runner: it batches continuously,
// admits all that comes, starts cold and falls over under full load while
// cold. It is for tests and demos only.
package runner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The header fields between a router and a model runner.
const (
	RequestIDHeader = "X-Request-Id" // the router's request id, there and back
	ResumeHeader    = "Resume-From"  // events of the stream already received
	ResumedHeader   = "Resumed"      // "true": the stream goes on from there
)

// Options say how a runner behaves.
type Options struct {
	TokenInterval   time.Duration // time between tokens while warm
	WarmupResponses int           // answers until the runner is warm
	ColdSlots       int           // concurrent requests it bears while cold
	StartDuration   time.Duration // after a crash; until then it breaks every connection
}

// Faults are what the runner does wrong, set by PUT /faults.
type Faults struct {
	Crash        bool   `json:"crash"`     // break every connection
	Silent       bool   `json:"silent"`    // stop sending in mid-stream
	Truncate     bool   `json:"cut_short"` // end streams without the end marker
	TruncateOnce bool   `json:"cut_once"`  // end the next stream without the end marker
	WrongID      bool   `json:"cross"`     // answer with another request's id
	CrashOn      string `json:"crash_on"`  // turn cold and break all streams on a prompt with this text
}

// Stats are the runner's own counts, for the tests' oracle.
type Stats struct {
	Started     int `json:"started"` // requests begun
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

// Usage is the cost of an answer in tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one alternative of an answer.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Chunk is one event of a stream, or a whole answer.
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

	mu     sync.Mutex
	stats  Stats
	warm   int       // answers since the last cold start
	life   int       // grows with each crash; streams of an old life break
	alive  int       // requests running in this life
	upAt   time.Time // when the runner has started again after a crash
	faults Faults
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
	mux.HandleFunc("POST /cold", s.turnCold)
	return mux
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var req Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Messages) == 0 {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	life, ok := s.begin(req)
	defer s.end(life)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	tokens := answer(s.name, req)
	id := r.Header.Get(RequestIDHeader)
	w.Header().Set(RequestIDHeader, s.echo(id))
	if req.Stream {
		s.stream(w, r, req, id, life, tokens)
	} else {
		s.whole(w, r, req, id, life, tokens)
	}
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, req Request, id string, life int, tokens []string) {
	w.Header().Set("Content-Type", "text/event-stream")
	from := resumeFrom(r, len(tokens))
	if from > 0 {
		w.Header().Set(ResumedHeader, "true")
	}
	out := http.NewResponseController(w)
	for i, token := range tokens[from:] {
		if !s.pace(r, life, i) {
			panic(http.ErrAbortHandler)
		}
		if s.cut(i) {
			return
		}
		send(w, Chunk{ID: id, Object: "chat.completion.chunk", Model: req.Model,
			Choices: []Choice{{Delta: &Message{Role: "assistant", Content: token}}}})
		out.Flush()
	}
	stop := "stop"
	send(w, Chunk{ID: id, Object: "chat.completion.chunk", Model: req.Model,
		Choices: []Choice{{Delta: &Message{}, FinishReason: &stop}}, Usage: usage(req, tokens)})
	fmt.Fprint(w, "data: [DONE]\n\n")
	s.answered()
}

func (s *Server) whole(w http.ResponseWriter, r *http.Request, req Request, id string, life int, tokens []string) {
	text := ""
	for i, token := range tokens {
		if !s.pace(r, life, i) {
			panic(http.ErrAbortHandler)
		}
		text += token
	}
	stop := "stop"
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(Chunk{ID: id, Object: "chat.completion", Model: req.Model,
		Choices: []Choice{{Message: &Message{Role: "assistant", Content: text}, FinishReason: &stop}},
		Usage:   usage(req, tokens)})
	s.answered()
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

func (s *Server) turnCold(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warm = 0
}
