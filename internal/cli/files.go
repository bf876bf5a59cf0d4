package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/inifile"
)

// fileArguments are contract files, or folders whose *.ini files are all read.
type fileArguments struct {
	Files []string `positional-arg-name:"FILE" required:"1"`
}

// contractFile is a checked contract file.
type contractFile struct {
	name     string
	text     string
	contract *contract.Contract
}

// readContracts reads and checks all files. It fails if one of them is invalid, so
// that no command acts on a part of them.
func readContracts(names []string) ([]contractFile, error) {
	paths, err := expandFolders(names)
	if err != nil {
		return nil, &exitError{ExitUsage, err.Error()}
	}
	var files []contractFile
	var faults []string
	pathByCustomer := make(map[string]string)
	for _, path := range paths {
		text, err := inifile.ReadFile(path)
		if err != nil {
			return nil, &exitError{ExitUsage, err.Error()}
		}
		c, err := contract.Parse(path, text)
		if err != nil {
			faults = append(faults, err.Error())
			continue
		}
		if other := pathByCustomer[c.Customer]; other != "" {
			faults = append(faults, fmt.Sprintf("%s: customer %s stands in %s already; keep one file for each customer", path, c.Customer, other))
		}
		pathByCustomer[c.Customer] = path
		files = append(files, contractFile{name: path, text: text, contract: c})
	}
	if len(faults) > 0 {
		return nil, &exitError{ExitRefused, strings.Join(faults, "\n")}
	}
	return files, nil
}

func expandFolders(names []string) ([]string, error) {
	var paths []string
	for _, name := range names {
		info, err := os.Stat(name)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			paths = append(paths, name)
			continue
		}
		matches, err := filepath.Glob(filepath.Join(name, "*.ini"))
		if err != nil {
			return nil, err
		}
		if len(matches) == 0 {
			return nil, fmt.Errorf("%s holds no .ini file", name)
		}
		paths = append(paths, matches...)
	}
	return paths, nil
}

type contractCheck struct {
	*app
	Args fileArguments `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *contractCheck) Execute([]string) error {
	files, err := readContracts(c.Args.Files)
	if err != nil {
		return err
	}
	for _, f := range files {
		_, _ = fmt.Fprintln(c.out, f.name+": ok")
	}
	return nil
}

type contractTemplate struct{ *app }

// Execute implements flags.Commander.
func (c *contractTemplate) Execute([]string) error {
	_, err := fmt.Fprint(c.out, inifile.Defaults(contract.Schema()))
	return err
}
