package stand

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a run: one line for each thing seen, with the seconds since
// its start. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// At returns the seconds from the start to a time.
func (r *Record) At(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Close closes the file.
func (r *Record) Close() { r.file.Close() }

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Main runs a case in a temporary folder and returns its exit code; run ends all
// processes that it starts.
func Main(run func(log *Record, dir string, trouble bool) (int, error)) int {
	log, err := NewRecord("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer log.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		log.Printf("not run: %v", err)
		return NotRun
	}
	defer os.RemoveAll(dir)
	trouble := os.Getenv("TROUBLE") != "0"
	log.Printf("TROUBLE is %t", trouble)
	code, err := run(log, dir, trouble)
	if err != nil {
		log.Printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = NotRun
	}
	log.Printf("exit code %d", code)
	return code
}
