package prepared_test

import (
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/standin/prepared"
)

// soakKinds are the kinds that the short run uses.
const soakKinds = "all"

// coldDuration is how long an endpoint is cold after a start.
const coldDuration = time.Second

// kindEnabled reports whether a kind of fault or client is to be used.
func kindEnabled(kind string) bool {
	kinds, set := os.LookupEnv("CYCLAMENWINCH_SOAK_KINDS")
	if !set {
		kinds = soakKinds
	}
	return kinds == "all" || slices.Contains(strings.Split(kinds, ","), kind)
}

func enabled(kinds []fault) []fault {
	return slices.DeleteFunc(kinds, func(f fault) bool { return !kindEnabled(f.name) })
}

// failureStatuses are those with which an endpoint fails after it has run a
// request.
var failureStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
	http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout}

// endpointFaults returns the kinds of faults of endpoints themselves.
func (s *soak) endpointFaults() []fault {
	at := func(inject func(r *runner, rng *rand.Rand, duration time.Duration)) func(*rand.Rand, time.Duration) {
		return func(rng *rand.Rand, duration time.Duration) {
			runners := s.allRunners()
			inject(runners[rng.IntN(len(runners))], rng, duration)
		}
	}
	handling := func(r *runner, handler http.Handler, duration time.Duration) {
		r.host.SetHandler(handler)
		time.Sleep(duration)
		r.host.SetHandler(nil)
	}
	return enabled([]fault{
		{"crash-in-response", at(func(r *runner, _ *rand.Rand, duration time.Duration) {
			handling(r, r.host.CrashAfterFirstEvent(), duration)
			r.host.Crash()
			r.restart(coldDuration)
		})},
		{"restart", at(func(r *runner, rng *rand.Rand, duration time.Duration) {
			r.host.Crash()
			time.Sleep(time.Duration(rng.Int64N(int64(duration + 1))))
			r.restart(coldDuration)
		})},
		{"other-weights", at(func(r *runner, rng *rand.Rand, duration time.Duration) {
			r.host.SetVersion(2)
			if rng.IntN(2) == 0 {
				r.publish()
			}
			time.Sleep(duration)
			r.host.SetVersion(1)
			r.publish()
		})},
		{"failure-after-run", at(func(r *runner, rng *rand.Rand, duration time.Duration) {
			handling(r, r.FailAfterRun(failureStatuses[rng.IntN(len(failureStatuses))]), duration)
		})},
		{"endless-bytes", at(func(r *runner, rng *rand.Rand, duration time.Duration) {
			handlers := []http.Handler{r.FloodAfterResponse()}
			for _, f := range prepared.Floods {
				handlers = append(handlers, f)
			}
			handling(r, handlers[rng.IntN(len(handlers))], duration)
		})},
	})
}

// routerFaults returns the kinds of signals and restarts in series.
func (s *soak) routerFaults() []fault {
	return enabled([]fault{
		{"signals", func(rng *rand.Rand, duration time.Duration) {
			i := rng.IntN(len(s.routers))
			s.faultLocks[i].Lock()
			defer s.faultLocks[i].Unlock()
			s.signalInSeries(s.routers[i], rng, duration)
		}},
		{"rolling-restart", func(rng *rand.Rand, _ time.Duration) {
			var restarts sync.WaitGroup
			for _, i := range rng.Perm(len(s.routers)) {
				restarts.Go(func() {
					s.faultLocks[i].Lock()
					defer s.faultLocks[i].Unlock()
					s.restartRouter(s.routers[i])
				})
				time.Sleep(time.Duration(rng.Int64N(int64(maxFaultInterval))))
			}
			restarts.Wait()
		}},
	})
}

// signalInSeries changes the configuration and reloads the settings several times,
// and suspends the router while it stops. The caller holds the router's lock.
func (s *soak) signalInSeries(r *router, rng *rand.Rand, duration time.Duration) {
	awaitFirstOutput(r)
	s.checkProcess(r)
	pause := func() { time.Sleep(time.Duration(rng.Int64N(int64(100 * time.Millisecond)))) }
	for range 3 {
		r.session.Signal(syscall.SIGHUP)
		s.operator.changeConfig()
		pause()
	}
	for _, sig := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGSTOP} {
		r.session.Signal(sig)
		pause()
	}
	time.Sleep(duration / 4)
	r.session.Signal(syscall.SIGCONT)
	r.session.Signal(syscall.SIGTERM)
	s.awaitStop(r)
	r.start()
}

// restartRouter stops a router gracefully and starts it again. The caller holds
// the router's lock.
func (s *soak) restartRouter(r *router) {
	awaitFirstOutput(r)
	s.checkProcess(r)
	r.session.Terminate()
	s.awaitStop(r)
	r.start()
}

// awaitStop waits until a router that got SIGTERM has ended, and checks its end.
func (s *soak) awaitStop(r *router) {
	r.session.Wait(hangTimeout)
	s.checkOutput(r)
	if r.session.ExitCode() != 0 {
		s.results.addViolation("%s: exit code %d after SIGTERM", r.name, r.session.ExitCode())
	}
}
