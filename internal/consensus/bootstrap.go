package consensus

import (
	"google.golang.org/protobuf/proto"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/consensus/wal"
)

// Bootstrap writes the first entry of a new group, its membership, to an empty
// log and adds it to recovered. Exactly one replica of the group may call it.
func Bootstrap(log *wal.Log, recovered *wal.Recovered, members *egretmuxv1.Membership) error {
	data, err := proto.Marshal(members)
	if err != nil {
		return err
	}
	first := &egretmuxv1.Entry{Term: 1, Index: 1, Kind: egretmuxv1.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data}
	hard := &egretmuxv1.HardState{Term: 1, Commit: 1}
	if err := log.Append(hard, []*egretmuxv1.Entry{first}); err != nil {
		return err
	}
	recovered.HardState = hard
	recovered.Entries = []*egretmuxv1.Entry{first}
	return nil
}
