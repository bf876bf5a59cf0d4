package settings

import (
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/egretmux/egretmux/internal/certs"
	"github.com/egretmux/egretmux/internal/inifile"
	"github.com/egretmux/egretmux/internal/lease"
)

// maxVoters is the most instances that keep the log.
const maxVoters = 7

// checker looks for faults that no single key shows.
type checker struct {
	doc      *inifile.Document
	settings *Settings
	faults   inifile.Faults
}

func (c *checker) add(section, key, problem, remedy string) {
	c.faults = append(c.faults, c.doc.Fault(section, key, problem, remedy))
}

func (c *checker) checkAll() {
	c.checkNames()
	c.checkListeners()
	c.checkVoters()
	c.checkSecrets()
	c.checkCredentials()
	c.checkFolder()
	c.checkTimes()
	c.checkTLS()
}

var nameRE = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

const nameRemedy = "use lower-case letters, digits and hyphens, beginning with a letter, at most 63"

func (c *checker) checkNames() {
	for _, key := range []string{"id", "datacentre"} {
		if name := c.doc.String("instance", key); !nameRE.MatchString(name) {
			c.add("instance", key, fmt.Sprintf("%.80q is not a name", name), nameRemedy)
		}
	}
}

var listenerNames = []string{"callers", "control", "cell"}

func (c *checker) checkListeners() {
	seen := make(map[string]netip.AddrPort)
	for _, name := range listenerNames {
		address, err := netip.ParseAddrPort(c.doc.String("listen", name))
		if err != nil || address.Port() == 0 {
			c.add("listen", name, c.doc.String("listen", name)+" is not IP:port", "write an IP number and a port from 1 to 65535, such as 10.0.0.5:7100")
			continue
		}
		if address.Addr().IsUnspecified() && name != "callers" {
			c.add("listen", name, address.String()+" cannot be reached by others", "write this machine's own IP number")
		}
		for _, other := range listenerNames {
			if taken, ok := seen[other]; ok && clash(taken, address) {
				c.add("listen", name, address.String()+" is taken by "+other, "give each listener a port of its own")
			}
		}
		seen[name] = address
	}
}

// clash reports whether two listeners cannot be open at a time.
func clash(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}

func validAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0 && !parsed.Addr().IsUnspecified()
}

func (c *checker) checkVoters() {
	names := make(map[string]bool)
	addresses := make(map[string]string)
	malformed := false
	for _, part := range c.doc.List("cell", "voters") {
		id, address, ok := strings.Cut(part, "=")
		if !ok || !validAddress(address) {
			c.add("cell", "voters", part+" is not id=IP:port", "write each voter as a1=10.0.0.5:7102")
			malformed = true
			continue
		}
		if names[id] {
			c.add("cell", "voters", id+" stands twice", "name each voter once")
		}
		if !nameRE.MatchString(id) {
			c.add("cell", "voters", fmt.Sprintf("%.80q is not a name", id), nameRemedy)
		}
		if other := addresses[address]; other != "" {
			c.add("cell", "voters", address+" stands for "+other+" and "+id, "give each voter its own address")
		}
		names[id] = true
		addresses[address] = id
		c.settings.Voters = append(c.settings.Voters, Voter{Instance: id, Address: address})
	}
	if malformed || !nameRE.MatchString(c.settings.Instance) {
		return
	}
	c.checkOwnVote(names[c.settings.Instance])
	if n := len(c.settings.Voters); n%2 == 0 || n > maxVoters {
		c.add("cell", "voters", fmt.Sprintf("%d voters", n), "use 3 or 5 voters (1 for trials)")
	}
}

// checkOwnVote checks this instance's part in the voters.
func (c *checker) checkOwnVote(listed bool) {
	if listed && c.settings.DataFolder == "" {
		c.add("instance", "data_folder", "this instance is a voter and has no data folder", "set data_folder, or take it out of voters")
	}
	if !listed && c.settings.DataFolder != "" {
		c.add("instance", "data_folder", "this instance is no voter and needs no data folder", "add it to voters, or clear data_folder")
	}
	for _, v := range c.settings.Voters {
		if v.Instance == c.settings.Instance && v.Address != c.settings.Cell.Address {
			c.add("cell", "voters", v.Instance+" is listed with "+v.Address+" but listens on "+c.settings.Cell.Address, "use the same address in both places")
		}
	}
}

// checkSecrets reads the files of the secrets between instances and towards workers.
func (c *checker) checkSecrets() {
	c.settings.CellKey = c.readSecret("cell", "key_file", "no secret between instances")
	c.settings.WorkerKey = c.readSecret("access", "worker_token_file", "no secret for commands to workers")
}

// shortestSecret is the least length of a secret, in characters.
const shortestSecret = 16

func (c *checker) readSecret(section, key, missing string) string {
	file := c.doc.String(section, key)
	if file == "" {
		if !c.settings.AcceptUnauthenticated {
			c.add(section, key, missing, "name a file with one, or set [access] accept_unauthenticated")
		}
		return ""
	}
	data, err := inifile.ReadFile(file)
	if err != nil {
		c.add(section, key, err.Error(), "create the file, readable by this process only")
		return ""
	}
	secret := strings.TrimSpace(data)
	switch {
	case len(secret) < shortestSecret:
		c.add(section, key, fmt.Sprintf("the secret in %s is shorter than %d characters", file, shortestSecret), "write a longer random one")
	case strings.ContainsFunc(secret, func(r rune) bool { return r <= ' ' || r > '~' }):
		c.add(section, key, "the secret in "+file+" is not one line of printable ASCII", "write a random one, such as 24 random bytes in base64")
	}
	return secret
}

func (c *checker) checkCredentials() {
	for _, key := range []string{"operator_sha256", "announcer_sha256", "metrics_sha256"} {
		value := c.doc.String("access", key)
		if value == "" {
			if !c.settings.AcceptUnauthenticated && key != "metrics_sha256" {
				c.add("access", key, "no credential", "set the SHA-256 of one, or set accept_unauthenticated")
			}
			continue
		}
		if raw, err := hex.DecodeString(value); err != nil || len(raw) != 32 {
			c.add("access", key, "not a SHA-256 in hex", "printf %s SECRET | sha256sum prints one")
		}
	}
}

func (c *checker) checkFolder() {
	folder := c.settings.DataFolder
	if folder == "" {
		return
	}
	info, err := os.Stat(folder)
	switch {
	case err != nil:
		c.add("instance", "data_folder", err.Error(), "create the folder on a disk that lasts")
	case !info.IsDir():
		c.add("instance", "data_folder", folder+" is not a folder", "name a folder")
	}
}

func (c *checker) checkTimes() {
	s := c.settings
	if s.HeartbeatTicks*2 > s.ElectionTicks {
		c.add("timing", "heartbeat_ticks", "heartbeats are too rare for the election time", "use at most half of election_ticks")
	}
	if election := 2 * time.Duration(s.ElectionTicks) * s.Tick; s.EntryLease < 2*election {
		c.add("timing", "entry_lease", "shorter than two elections", "use at least "+(2*election).String())
	}
	if bound := lease.MaxEnforcementDelay(s.EntryLease, time.Duration(s.ElectionTicks)*s.Tick); bound > lease.EnforcementDelayLimit {
		c.add("timing", "entry_lease", "a contract could take "+bound.String()+" to be in force everywhere", "shorten it, or election_ticks, until that is at most "+lease.EnforcementDelayLimit.String())
	}
}

func (c *checker) checkTLS() {
	for _, name := range listenerNames {
		cert, key := c.doc.String("tls", name+"_cert"), c.doc.String("tls", name+"_key")
		if (cert == "") != (key == "") {
			c.add("tls", name+"_cert", "certificate and key go together", "set both or neither")
			continue
		}
		if cert == "" {
			continue
		}
		if _, err := tls.LoadX509KeyPair(cert, key); err != nil {
			c.add("tls", name+"_cert", err.Error(), "name a certificate and its key, both in PEM form")
		}
	}
	for _, key := range []string{"cell_ca", "worker_ca"} {
		if file := c.doc.String("tls", key); file != "" {
			if _, err := certs.Pool(file); err != nil {
				c.add("tls", key, err.Error(), "name a file of certificates in PEM form")
			}
		}
	}
	if (c.settings.Cell.CertFile != "") != (c.settings.CellCA != "") {
		c.add("tls", "cell_ca", "cell_cert and cell_ca go together", "set both or neither on every instance")
	}
}
