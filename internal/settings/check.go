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

// maxVoters is the largest number of voters of a cell.
const maxVoters = 7

// checker checks what the schema cannot express: the forms of names and
// addresses, relations between keys, and the files that keys name.
type checker struct {
	doc      *inifile.Document
	settings *Settings
	faults   inifile.Faults
}

func (c *checker) addFault(section, key, problem, remedy string) {
	c.faults = append(c.faults, c.doc.Fault(section, key, problem, remedy))
}

func (c *checker) checkAll() {
	c.checkNames()
	c.checkListeners()
	c.checkVoters()
	c.checkSecrets()
	c.checkCredentials()
	c.checkDataFolder()
	c.checkTiming()
	c.checkTLS()
}

var nameRE = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

const nameRemedy = "use lower-case letters, digits and hyphens, beginning with a letter, at most 63"

func (c *checker) checkNames() {
	for _, key := range []string{"id", "datacentre"} {
		if name := c.doc.String("instance", key); !nameRE.MatchString(name) {
			c.addFault("instance", key, fmt.Sprintf("%.80q is not a name", name), nameRemedy)
		}
	}
}

var listenerNames = []string{"callers", "control", "cell"}

func (c *checker) checkListeners() {
	seen := make(map[string]netip.AddrPort)
	for _, name := range listenerNames {
		address, err := netip.ParseAddrPort(c.doc.String("listen", name))
		if err != nil || address.Port() == 0 {
			c.addFault("listen", name, c.doc.String("listen", name)+" is not IP:port", "write an IP address and a port from 1 to 65535, such as 10.0.0.5:7100")
			continue
		}
		if address.Addr().IsUnspecified() && name != "callers" {
			c.addFault("listen", name, address.String()+" cannot be reached by others", "write this machine's own IP address")
		}
		for _, other := range listenerNames {
			if taken, ok := seen[other]; ok && conflict(taken, address) {
				c.addFault("listen", name, address.String()+" is taken by "+other, "give each listener a port of its own")
			}
		}
		seen[name] = address
	}
}

// conflict reports whether two listeners cannot be open at the same time.
func conflict(a, b netip.AddrPort) bool {
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
			c.addFault("cell", "voters", part+" is not id=IP:port", "write each voter as a1=10.0.0.5:7102")
			malformed = true
			continue
		}
		if names[id] {
			c.addFault("cell", "voters", id+" stands twice", "name each voter once")
		}
		if !nameRE.MatchString(id) {
			c.addFault("cell", "voters", fmt.Sprintf("%.80q is not a name", id), nameRemedy)
		}
		if other := addresses[address]; other != "" {
			c.addFault("cell", "voters", address+" is the address of both "+other+" and "+id, "give each voter its own address")
		}
		names[id] = true
		addresses[address] = id
		c.settings.Voters = append(c.settings.Voters, Voter{Instance: id, Address: address})
	}
	if malformed || !nameRE.MatchString(c.settings.Instance) {
		return
	}
	c.checkOwnVoter(names[c.settings.Instance])
	if n := len(c.settings.Voters); n%2 == 0 || n > maxVoters {
		c.addFault("cell", "voters", fmt.Sprintf("%d voters", n), "use 3 or 5 voters (1 for trials)")
	}
}

// checkOwnVoter checks this instance's data folder and cell address against the
// list of voters, which holds the instance if listed is true.
func (c *checker) checkOwnVoter(listed bool) {
	if listed && c.settings.DataFolder == "" {
		c.addFault("instance", "data_folder", "this instance is a voter and has no data folder", "set data_folder, or remove the instance from voters")
	}
	if !listed && c.settings.DataFolder != "" {
		c.addFault("instance", "data_folder", "this instance is no voter and needs no data folder", "add the instance to voters, or clear data_folder")
	}
	for _, v := range c.settings.Voters {
		if v.Instance == c.settings.Instance && v.Address != c.settings.Cell.Address {
			c.addFault("cell", "voters", v.Instance+" is listed with "+v.Address+" but listens on "+c.settings.Cell.Address, "use the same address in both places")
		}
	}
}

// checkSecrets reads the secrets that instances show each other and workers.
func (c *checker) checkSecrets() {
	c.settings.CellKey = c.readSecret("cell", "key_file", "no secret between instances")
	c.settings.WorkerToken = c.readSecret("access", "worker_token_file", "no secret for commands to workers")
}

// minSecretLength is the minimum length of a secret, in characters.
const minSecretLength = 16

// readSecret returns the secret in the file that a key names. If the key is not
// set and credentials are required, it reports unsetProblem.
func (c *checker) readSecret(section, key, unsetProblem string) string {
	file := c.doc.String(section, key)
	if file == "" {
		if !c.settings.AcceptUnauthenticated {
			c.addFault(section, key, unsetProblem, "name a file with one, or set [access] accept_unauthenticated")
		}
		return ""
	}
	data, err := inifile.ReadFile(file)
	if err != nil {
		c.addFault(section, key, err.Error(), "create the file, readable by this process only")
		return ""
	}
	secret := strings.TrimSpace(data)
	switch {
	case len(secret) < minSecretLength:
		c.addFault(section, key, fmt.Sprintf("the secret in %s is shorter than %d characters", file, minSecretLength), "write a longer random secret")
	case strings.ContainsFunc(secret, func(r rune) bool { return r <= ' ' || r > '~' }):
		c.addFault(section, key, "the secret in "+file+" is not one line of printable ASCII", "write a random secret, such as 24 random bytes in base64")
	}
	return secret
}

func (c *checker) checkCredentials() {
	for _, key := range []string{"operator_sha256", "announcer_sha256", "metrics_sha256"} {
		value := c.doc.String("access", key)
		if value == "" {
			if !c.settings.AcceptUnauthenticated && key != "metrics_sha256" {
				c.addFault("access", key, "no credential", "set the SHA-256 of one, or set accept_unauthenticated")
			}
			continue
		}
		if raw, err := hex.DecodeString(value); err != nil || len(raw) != 32 {
			c.addFault("access", key, "not a SHA-256 in hex", "printf %s SECRET | sha256sum prints one")
		}
	}
}

func (c *checker) checkDataFolder() {
	folder := c.settings.DataFolder
	if folder == "" {
		return
	}
	info, err := os.Stat(folder)
	switch {
	case err != nil:
		c.addFault("instance", "data_folder", err.Error(), "create the folder on persistent storage")
	case !info.IsDir():
		c.addFault("instance", "data_folder", folder+" is not a folder", "name a folder")
	}
}

func (c *checker) checkTiming() {
	s := c.settings
	if s.HeartbeatTicks*2 > s.ElectionTicks {
		c.addFault("timing", "heartbeat_ticks", "heartbeats are too rare for the election time", "use at most half of election_ticks")
	}
	if election := 2 * time.Duration(s.ElectionTicks) * s.Tick; s.EntryLease < 2*election {
		c.addFault("timing", "entry_lease", "shorter than two elections", "use at least "+(2*election).String())
	}
	if delay := lease.MaxEnforcementDelay(s.EntryLease, time.Duration(s.ElectionTicks)*s.Tick); delay > lease.EnforcementDelayLimit {
		c.addFault("timing", "entry_lease", "a contract could take "+delay.String()+" to be in force everywhere", "shorten it, or election_ticks, until that is at most "+lease.EnforcementDelayLimit.String())
	}
}

func (c *checker) checkTLS() {
	for _, name := range listenerNames {
		cert, key := c.doc.String("tls", name+"_cert"), c.doc.String("tls", name+"_key")
		if (cert == "") != (key == "") {
			c.addFault("tls", name+"_cert", "certificate and key go together", "set both or neither")
			continue
		}
		if cert == "" {
			continue
		}
		if _, err := tls.LoadX509KeyPair(cert, key); err != nil {
			c.addFault("tls", name+"_cert", err.Error(), "name a certificate and its key, both in PEM form")
		}
	}
	for _, key := range []string{"cell_ca", "worker_ca"} {
		if file := c.doc.String("tls", key); file != "" {
			if _, err := certs.Pool(file); err != nil {
				c.addFault("tls", key, err.Error(), "name a file of certificates in PEM form")
			}
		}
	}
	if (c.settings.Cell.CertFile != "") != (c.settings.CellCA != "") {
		c.addFault("tls", "cell_ca", "cell_cert and cell_ca go together", "set both or neither on every instance")
	}
}
