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
	defaultTokens = 12 // tokens of a response if the request has no max_tokens
	faultToken    = 2  // index of the first token that is not sent under the faults Silent and Truncate
	noIncarnation = -1 // for requests that arrive while the runner starts
)

// startRequest counts the request as running. It returns the incarnation that
// runs the request, and false if the runner is starting or crashes.
func (s *Server) startRequest(req Request) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Started++
	s.stats.Running++
	s.stats.MaxRunning = max(s.stats.MaxRunning, s.stats.Running)
	if time.Now().Before(s.readyAt) {
		return noIncarnation, false
	}
	s.running++
	cold := s.responses < s.opts.WarmupResponses
	if cold {
		s.stats.MaxWhenCold = max(s.stats.MaxWhenCold, s.running)
	}
	incarnation := s.incarnation
	if cold && s.running > s.opts.ColdSlots || s.triggersCrash(req) {
		s.crash()
	}
	return incarnation, !s.faults.Crash && incarnation == s.incarnation
}

// triggersCrash reports whether the last message contains the text of the
// fault CrashOn.
func (s *Server) triggersCrash(req Request) bool {
	return s.faults.CrashOn != "" && strings.Contains(req.Messages[len(req.Messages)-1].Content, s.faults.CrashOn)
}

// crash aborts all running requests and starts a new, cold incarnation, whose
// load doesn't include the requests of the previous one.
func (s *Server) crash() {
	s.incarnation++
	s.responses = 0
	s.running = 0
	s.readyAt = time.Now().Add(s.opts.StartDuration)
	s.stats.Crashes++
}

// endRequest counts a request of an incarnation as ended.
func (s *Server) endRequest(incarnation int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Running--
	if incarnation == s.incarnation {
		s.running--
	}
}

func (s *Server) recordResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses++
	s.stats.Responses++
}

// waitToken waits until the next token is generated, which takes twice as long
// while the runner is cold. It returns false if the runner has crashed or the
// router has canceled the request.
func (s *Server) waitToken(r *http.Request, incarnation, token int) bool {
	s.mu.Lock()
	f, wait, current := s.faults, s.opts.TokenInterval, s.incarnation
	if s.responses < s.opts.WarmupResponses {
		wait *= 2
	}
	s.mu.Unlock()
	if current != incarnation || f.Crash {
		return false
	}
	if f.Silent && token >= faultToken {
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

// truncates reports whether a stream ends before the given token, without its
// end marker. When TruncateOnce applies, it is reset.
func (s *Server) truncates(token int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	once := s.faults.TruncateOnce
	if token < faultToken || !s.faults.Truncate && !once {
		return false
	}
	s.faults.TruncateOnce = false
	return true
}

// responseID returns the request id to report in the response: the wrong one
// under the fault WrongID.
func (s *Server) responseID(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.WrongID {
		return "crossed-" + id
	}
	return id
}

// resumeFrom returns how many events of a stream the router has already
// received, or 0 if it requests the stream from the start.
func resumeFrom(r *http.Request, events int) int {
	from, err := strconv.Atoi(r.Header.Get(ResumeHeader))
	if err != nil || from < 0 || from > events {
		return 0
	}
	return from
}

// generate returns the tokens of the response. Equal requests get equal tokens.
func generate(name string, req Request) []string {
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

// send writes a chunk as one server-sent event.
func send(w http.ResponseWriter, c Chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
}
