package runner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	defaultTokens = 12 // tokens of an answer without max_tokens
	silentAt      = 2  // token at which a silent runner stops
	noLife        = -1 // of a request that finds the runner starting
)

// begin counts the request in. It returns the runner's life and false if the
// request finds the runner crashed or starting.
func (s *Server) begin(req Request) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Started++
	s.stats.Running++
	s.stats.MaxRunning = max(s.stats.MaxRunning, s.stats.Running)
	if time.Now().Before(s.upAt) {
		return noLife, false
	}
	s.alive++
	cold := s.warm < s.opts.WarmupResponses
	if cold {
		s.stats.MaxWhenCold = max(s.stats.MaxWhenCold, s.alive)
	}
	life := s.life
	if cold && s.alive > s.opts.ColdSlots || s.poisoned(req) {
		s.crash()
	}
	return life, !s.faults.Crash && life == s.life
}

func (s *Server) poisoned(req Request) bool {
	return s.faults.CrashOn != "" && strings.Contains(req.Messages[len(req.Messages)-1].Content, s.faults.CrashOn)
}

// crash breaks all running streams; the runner starts anew, cold. What ran in
// the old life has no part in the load of the new one.
func (s *Server) crash() {
	s.life++
	s.warm = 0
	s.alive = 0
	s.upAt = time.Now().Add(s.opts.StartDuration)
	s.stats.Crashes++
}

func (s *Server) end(life int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Running--
	if life == s.life {
		s.alive--
	}
}

func (s *Server) answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warm++
	s.stats.Responses++
}

// pace waits for the next token; false if the runner crashed or the router
// left.
func (s *Server) pace(r *http.Request, life, token int) bool {
	s.mu.Lock()
	f, wait, current := s.faults, s.opts.TokenInterval, s.life
	if s.warm < s.opts.WarmupResponses {
		wait *= 2
	}
	s.mu.Unlock()
	if current != life || f.Crash {
		return false
	}
	if f.Silent && token >= silentAt {
		<-r.Context().Done()
		return false
	}
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(wait):
		return true
	}
}

func (s *Server) cut(token int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	once := s.faults.TruncateOnce
	if token < silentAt || !s.faults.Truncate && !once {
		return false
	}
	s.faults.TruncateOnce = false
	return true
}

func (s *Server) echo(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.WrongID {
		return "crossed-" + id
	}
	return id
}

// resumeFrom is the number of a stream's events that the router has already,
// or 0 if it asks for the whole stream.
func resumeFrom(r *http.Request, events int) int {
	from, err := strconv.Atoi(r.Header.Get(ResumeHeader))
	if err != nil || from < 0 || from > events {
		return 0
	}
	return from
}

// answer returns the tokens that the runner generates: the same for the same
// request.
func answer(name string, req Request) []string {
	n := req.MaxTokens
	if n <= 0 {
		n = defaultTokens
	}
	words := strings.Fields(req.Messages[len(req.Messages)-1].Content)
	tokens := make([]string, n)
	for i := range tokens {
		word := "ok"
		if len(words) > 0 {
			word = words[i%len(words)]
		}
		tokens[i] = fmt.Sprintf("%s ", word)
	}
	return tokens
}

func usage(req Request, tokens []string) *Usage {
	prompt := 0
	for _, m := range req.Messages {
		prompt += len(strings.Fields(m.Content))
	}
	return &Usage{PromptTokens: prompt, CompletionTokens: len(tokens), TotalTokens: prompt + len(tokens)}
}

func send(w http.ResponseWriter, c Chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
}
