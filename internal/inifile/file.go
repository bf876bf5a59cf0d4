package inifile

import (
	"fmt"
	"io"
	"os"
)

// ReadFile reads a text file. A folder or a file larger than MaxBytes is an
// error.
func ReadFile(name string) (string, error) {
	f, err := os.Open(name)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return "", err
	}
	if len(data) > MaxBytes {
		return "", fmt.Errorf("%s is larger than %d bytes", name, MaxBytes)
	}
	return string(data), nil
}
