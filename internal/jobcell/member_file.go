package jobcell

import (
	"context"
	"fmt"
	"hash/crc32"
	"io/fs"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/egretmux/egretmux/internal/consensus/wal"
	"github.com/egretmux/egretmux/internal/discovery"
	"github.com/egretmux/egretmux/internal/periodic"
)

const (
	memberFileName     = "members"
	memberFileTempName = "members.tmp"
	memberFileHeader   = "egretmux-members %08x\n" // with the CRC-32 of the lines after it, one address each
	memberFilePeriod   = time.Second               // between two looks at the members
	memberFileRetry    = 10 * time.Second          // pause after a failed write, as on a full disk
)

// memberFile keeps the addresses of the members in the data folder, so that after a loss of power
// those can be called whose seeds have all been replaced. It lies beside the log, which does not
// depend on it.
type memberFile struct {
	disk   wal.Disk
	logger zerolog.Logger

	written []string // content of the file
	version uint64   // of written, as the directory counts
	failing bool     // the last write failed
	retryAt time.Time
}

func newMemberFile(disk wal.Disk, logger zerolog.Logger) *memberFile {
	return &memberFile{disk: disk, logger: logger}
}

// read returns the addresses in the file, or none if it is missing or damaged.
func (f *memberFile) read() []string {
	data, err := f.disk.ReadFile(memberFileName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err == nil {
		f.written, err = parseMembers(string(data))
	}
	if err != nil {
		f.logger.Warn().Err(err).Str("event", "members_not_read").Msg("could not read the members in the data folder; instances whose seeds are gone find the cell only if they are seeds of others")
		return nil
	}
	f.logger.Info().Str("event", "members_read").Int("members", len(f.written)).Msg("calling the members from before the restart")
	return slices.Clone(f.written)
}

func parseMembers(text string) ([]string, error) {
	header, lines, _ := strings.Cut(text, "\n")
	if header+"\n" != fmt.Sprintf(memberFileHeader, crc32.ChecksumIEEE([]byte(lines))) {
		return nil, errors.New("the file is damaged; it is replaced at the next change of the members")
	}
	return strings.Fields(lines), nil
}

// update writes the file if the members have changed. A failed write is repeated later.
func (f *memberFile) update(directory *discovery.Directory, now time.Time) {
	if now.Before(f.retryAt) {
		return
	}
	addresses, version := directory.Addresses(f.version)
	if version == f.version {
		return
	}
	if !slices.Equal(addresses, f.written) {
		if err := f.write(addresses); err != nil {
			if !f.failing {
				f.logger.Warn().Err(err).Str("event", "members_not_written").Msg("could not write the members to the data folder; trying again")
			}
			f.failing, f.retryAt = true, now.Add(memberFileRetry)
			return
		}
	}
	f.written, f.version, f.failing = addresses, version, false
}

// write replaces the file. After a crash either content may be there.
func (f *memberFile) write(addresses []string) error {
	lines := strings.Join(addresses, "\n") + "\n"
	file, err := f.disk.Create(memberFileTempName)
	if err != nil {
		return err
	}
	_, err = file.Write([]byte(fmt.Sprintf(memberFileHeader, crc32.ChecksumIEEE([]byte(lines))) + lines))
	if err == nil {
		err = file.Sync()
	}
	err = errors.CombineErrors(err, file.Close())
	if err == nil {
		err = f.disk.Rename(memberFileTempName, memberFileName)
	}
	if err != nil {
		// The log may need the space.
		return errors.CombineErrors(err, f.disk.Remove(memberFileTempName))
	}
	return f.disk.SyncDir()
}

// memberFileLoop has a goroutine of its own, as it waits for a disk that hangs.
func (c *Cell) memberFileLoop(ctx context.Context) {
	periodic.Run(ctx, memberFilePeriod, func(now time.Time) { c.folder.Load().members.update(c.directory, now) })
}
