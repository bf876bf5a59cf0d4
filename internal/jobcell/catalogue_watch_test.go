package jobcell

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func TestEachVersionOfTheCatalogueIsReportedOnce(t *testing.T) {
	log := &logBuffer{}
	w := &catalogueWatch{logger: zerolog.New(log)}
	w.note(0, "call")
	w.note(3, "acknowledged")
	w.note(3, "call")
	w.noteRead(5, w.newest.Load())
	w.note(4, "call")
	lines := log.take(t, "catalogue_shown", "catalogue_older")
	require.Len(t, lines, 2)
	require.Equal(t, []any{3.0, "acknowledged", 5.0, "read"}, []any{lines[0]["version"], lines[0]["source"], lines[1]["version"], lines[1]["source"]})
}

func TestReadOfAnOlderCatalogueIsReported(t *testing.T) {
	log := &logBuffer{}
	w := &catalogueWatch{logger: zerolog.New(log)}
	w.note(3, "acknowledged")
	w.noteRead(2, 3)
	lines := log.take(t, "catalogue_older")
	require.Len(t, lines, 1)
	require.Equal(t, []any{2.0, 3.0}, []any{lines[0]["version"], lines[0]["known"]})
}
