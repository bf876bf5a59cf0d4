package scheduler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
)

// Guards against one message that costs a replica its log: entries that do not follow its last one were
// stored, and the log could not be read after a restart.
func TestMalformedAppendLeavesALogThatARestartCanRead(t *testing.T) {
	folder := t.TempDir()
	s, closeAll := openLeader(t, folder, 100000)
	_, err := s.PutCatalogue(t.Context(), catalogue(1, "one"))
	require.NoError(t, err)
	status, _ := s.Node().Status()
	s.Node().Step([]*egretmuxv1.Message{{
		Kind: egretmuxv1.MessageKind_MESSAGE_KIND_APPEND, From: 9, To: status.ID, Term: status.Term + 1, Index: status.Last, LogTerm: status.Term,
		Entries: []*egretmuxv1.Entry{{Term: status.Term + 1, Index: status.Last + 900}},
	}})
	const last = 4
	for version := uint64(2); version <= last; version++ { // the replica takes these after the message
		_, err := s.PutCatalogue(t.Context(), catalogue(version, "one"))
		require.NoError(t, err)
	}
	closeAll()
	s, closeAll = openLeader(t, folder, 100000)
	defer closeAll()
	c, err := s.Catalogue(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(last), c.GetVersion())
}
