package leader_test

import (
	"bytes"
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/egretmux/egretmux/internal/refusal"
)

// scenario runs the commands of one file against a cluster.
type scenario struct {
	t *testing.T
	d *datadriven.TestData
	c *cluster
}

func (s *scenario) text(key string) string {
	var value string
	s.d.ScanArgs(s.t, key, &value)
	return value
}

func (s *scenario) number(key string) int {
	var value int
	s.d.ScanArgs(s.t, key, &value)
	return value
}

// instance returns the number of the instance that the argument names.
func (s *scenario) instance() int {
	for i := range instanceCount {
		if instanceName(i) == s.text("instance") {
			return i
		}
	}
	s.d.Fatalf(s.t, "no such instance")
	return 0
}

func (s *scenario) duration(key string) time.Duration {
	d, err := time.ParseDuration(s.text(key))
	require.NoError(s.t, err)
	return d
}

func (s *scenario) run() string {
	switch s.d.Cmd {
	case "change":
		return s.change(s.text("id"), s.number("base"), s.text("author"), s.number("queue"))
	case "changes":
		return s.changes(s.number("count"))
	case "wait":
		time.Sleep(s.duration("for"))
	case "force":
		return s.force(s.duration("within"))
	case "serving":
		return s.serving()
	case "isolate", "restart":
		s.c.do(step{kind: s.d.Cmd, target: s.instance()}, 0)
	case "heal":
		s.c.do(step{kind: "heal"}, 0)
	case "elect":
		s.c.elect(s.instance())
		if !s.d.HasArg("unnoticed") {
			s.c.depose()
		}
		time.Sleep(100 * time.Millisecond)
	case "restore":
		s.restore(s.instance())
	default:
		s.d.Fatalf(s.t, "no such command")
	}
	return ""
}

func (s *scenario) change(id string, base int, author string, queue int) string {
	v, err := s.c.change(id, uint64(base), author, queue)
	if err == nil {
		return fmt.Sprintf("accepted: version %d by %s, change %s\n", v.GetVersion(), v.GetAuthor(), v.GetChangeId())
	}
	r := refusal.Of(err)
	return fmt.Sprintf("%s (ran: %s): %s\n%s", r.Kind, r.Ran, r.Message, r.Difference)
}

func (s *scenario) changes(count int) string {
	first := int(s.c.ref.Contract("dixie", 0).GetVersion())
	for i := range count {
		id := fmt.Sprint("bulk-", first+i+1)
		if out := s.change(id, first+i, "anna", i+1); !strings.HasPrefix(out, "accepted") {
			return out
		}
	}
	return fmt.Sprintf("accepted: versions %d to %d\n", first+1, first+count)
}

// force waits until the newest version is in force everywhere.
func (s *scenario) force(limit time.Duration) string {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s.c.askForce() {
			return fmt.Sprintf("version %d in force everywhere\n", s.c.forced)
		}
	}
	return "not in force everywhere in time\n"
}

func (s *scenario) serving() string {
	var out strings.Builder
	for i, p := range s.c.entries {
		if p.relay.Lease().Valid() {
			fmt.Fprintf(&out, "%s serves with version %d\n", instanceName(i), p.book.Version())
		} else {
			fmt.Fprintf(&out, "%s does not serve\n", instanceName(i))
		}
	}
	return out.String()
}

// restore replaces a voter's state by a snapshot, as a restart does.
func (s *scenario) restore(id int) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	var snapshot bytes.Buffer
	require.NoError(s.t, s.c.ref.Capture()(&snapshot))
	v := s.c.voters[id]
	require.NoError(s.t, v.store.Restore(snapshot.Bytes()))
	v.applied = len(s.c.log)
}

// TestScenarios plays the files of testdata in virtual time.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				c := newCluster(ctx, 1)
				c.worker = &fakeWorker{}
				time.Sleep(2 * time.Second)
				datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
					out := (&scenario{t: t, d: d, c: c}).run()
					require.Empty(t, c.broken())
					return out
				})
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}
