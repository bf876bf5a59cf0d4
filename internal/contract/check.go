package contract

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/egretmux/egretmux/internal/inifile"
)

// Limits of one contract.
const (
	maxClasses     = 64
	maxPaths       = 256 // per class
	maxCredentials = 8
	maxServices    = 256
)

var nameRE = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

const nameRemedy = "use lower-case letters, digits and hyphens, beginning with a letter, at most 63"

// ValidName reports whether s may name a customer, class or service.
func ValidName(s string) bool { return nameRE.MatchString(s) }

// SharedCredential returns another customer that owns one of the contract's
// credentials, or "". A shared credential would not identify the customer of a
// request.
func SharedCredential(c *Contract, others []*Contract) string {
	for _, other := range others {
		if other.Customer == c.Customer {
			continue
		}
		for _, h := range other.Credentials {
			if slices.Contains(c.Credentials, h) {
				return other.Customer
			}
		}
	}
	return ""
}

// checker checks what the schema cannot express: the forms of names and hashes,
// the numbers of entries, and relations between keys and classes.
type checker struct {
	doc    *inifile.Document
	faults inifile.Faults
}

func (c *checker) addFault(section, key, problem, remedy string) {
	c.faults = append(c.faults, c.doc.Fault(section, key, problem, remedy))
}

func check(d *inifile.Document, contract *Contract) inifile.Faults {
	c := checker{doc: d}
	if contract.Customer != "" && !ValidName(contract.Customer) {
		c.addFault("contract", "customer", fmt.Sprintf("%.80q is not a name", contract.Customer), nameRemedy)
	}
	c.checkCredentials(contract.Credentials)
	c.checkServices(contract.Services)
	c.checkClasses(contract.Classes)
	return c.faults
}

func (c *checker) checkCredentials(hashes []string) {
	const sha256Bytes = 32
	seen := make(map[string]bool)
	for _, h := range hashes {
		if raw, err := hex.DecodeString(h); err != nil || len(raw) != sha256Bytes {
			c.addFault("contract", "credential_sha256", fmt.Sprintf("%.80q is not a SHA-256 in hex", h), "printf %s SECRET | sha256sum prints one")
		}
		if seen[h] {
			c.addFault("contract", "credential_sha256", "a hash stands twice", "name each credential once")
		}
		seen[h] = true
	}
	if len(hashes) > maxCredentials {
		c.addFault("contract", "credential_sha256", fmt.Sprintf("%d credentials", len(hashes)), fmt.Sprintf("use at most %d", maxCredentials))
	}
}

func (c *checker) checkServices(names []string) {
	for _, name := range names {
		if !ValidName(name) {
			c.addFault("contract", "services", fmt.Sprintf("%.80q is not a name", name), nameRemedy)
		}
	}
	if len(names) > maxServices {
		c.addFault("contract", "services", fmt.Sprintf("%d services", len(names)), fmt.Sprintf("use at most %d", maxServices))
	}
}

func (c *checker) checkClasses(classes []Class) {
	classByPath := make(map[string]string)
	for _, class := range classes {
		section := classPrefix + class.Name
		if !ValidName(class.Name) {
			c.addFault(section, "", fmt.Sprintf("%.80q is not a name", class.Name), nameRemedy)
		}
		if class.Answer == AtOnce && class.Deadline == 0 {
			c.addFault(section, "deadline", "work that answers at once has no deadline", "give the time that its callers wait")
		}
		c.checkPaths(section, class, classByPath)
	}
	if len(classes) > maxClasses {
		c.addFault(classPrefix+classes[maxClasses].Name, "", fmt.Sprintf("%d classes", len(classes)), fmt.Sprintf("use at most %d", maxClasses))
	}
}

func (c *checker) checkPaths(section string, class Class, classByPath map[string]string) {
	for _, p := range class.Paths {
		if !strings.HasPrefix(p, "/") {
			c.addFault(section, "paths", fmt.Sprintf("%.80q does not start with /", p), "write the path after /service/NAME")
		}
		if other := classByPath[p]; other != "" {
			c.addFault(section, "paths", p+" belongs to class "+other+" already", "give each path to one class")
		}
		classByPath[p] = class.Name
	}
	if len(class.Paths) > maxPaths {
		c.addFault(section, "paths", fmt.Sprintf("%d paths", len(class.Paths)), fmt.Sprintf("use at most %d", maxPaths))
	}
}
