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

func (s *scenario) stringArg(key string) string {
	var value string
	s.d.ScanArgs(s.t, key, &value)
	return value
}

func (s *scenario) intArg(key string) int {
	var value int
	s.d.ScanArgs(s.t, key, &value)
	return value
}

// instanceArg returns the index of the instance that the argument names.
func (s *scenario) instanceArg() int {
	for i := range instanceCount {
		if instanceName(i) == s.stringArg("instance") {
			return i
		}
	}
	s.d.Fatalf(s.t, "no such instance")
	return 0
}

func (s *scenario) durationArg(key string) time.Duration {
	d, err := time.ParseDuration(s.stringArg(key))
	require.NoError(s.t, err)
	return d
}

func (s *scenario) run() string {
	switch s.d.Cmd {
	case "change":
		return s.change(s.stringArg("id"), s.intArg("base"), s.stringArg("author"), s.intArg("queue"))
	case "changes":
		return s.changes(s.intArg("count"))
	case "wait":
		time.Sleep(s.durationArg("for"))
	case "force":
		return s.waitInForce(s.durationArg("within"))
	case "serving":
		return s.serving()
	case "isolate", "restart":
		s.c.execute(step{kind: s.d.Cmd, target: s.instanceArg()}, 0)
	case "heal":
		s.c.execute(step{kind: "heal"}, 0)
	case "elect":
		s.c.elect(s.instanceArg())
		if !s.d.HasArg("unnoticed") {
			s.c.notifyDeposed()
		}
		time.Sleep(100 * time.Millisecond)
	case "restore":
		s.restoreVoter(s.instanceArg())
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
	first := int(s.c.committed.Contract("dixie", 0).GetVersion())
	for i := range count {
		id := fmt.Sprint("bulk-", first+i+1)
		if out := s.change(id, first+i, "anna", i+1); !strings.HasPrefix(out, "accepted") {
			return out
		}
	}
	return fmt.Sprintf("accepted: versions %d to %d\n", first+1, first+count)
}

// waitInForce waits until the newest version is in force everywhere.
func (s *scenario) waitInForce(limit time.Duration) string {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s.c.queryInForce() {
			return fmt.Sprintf("version %d in force everywhere\n", s.c.versionInForce)
		}
	}
	return "not in force everywhere in time\n"
}

func (s *scenario) serving() string {
	var out strings.Builder
	for i, p := range s.c.processes {
		if p.relay.Lease().Valid() {
			fmt.Fprintf(&out, "%s serves with version %d\n", instanceName(i), p.book.Version())
		} else {
			fmt.Fprintf(&out, "%s does not serve\n", instanceName(i))
		}
	}
	return out.String()
}

// restoreVoter replaces a voter's state with a snapshot, as a restart does.
func (s *scenario) restoreVoter(id int) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	var snapshot bytes.Buffer
	require.NoError(s.t, s.c.committed.Capture()(&snapshot))
	v := s.c.voters[id]
	require.NoError(s.t, v.store.Restore(snapshot.Bytes()))
	v.applied = len(s.c.log)
}

// TestScenarios runs the files of testdata in virtual time.
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
					require.Empty(t, c.violation())
					return out
				})
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}
