package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// requestCommand sends one request and prints the answer's body. It fails when
// the answer ends early or its status is not 2xx.
type requestCommand struct {
	URL     string        `long:"url" description:"http://IP:port/path" required:"yes"`
	Method  string        `long:"method" default:"GET"`
	Token   string        `long:"token" description:"credential"`
	Key     string        `long:"key" description:"idempotency key"`
	Body    string        `long:"body"`
	Headers bool          `long:"headers" description:"print status and headers too"`
	Timeout time.Duration `long:"timeout" default:"10s"`
}

// Execute implements flags.Commander.
func (c *requestCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(signalContext(), c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, strings.NewReader(c.Body))
	if err != nil {
		return err
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if c.Key != "" {
		req.Header.Set("Idempotency-Key", c.Key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if c.Headers {
		fmt.Println(resp.Proto, resp.Status)
		_ = resp.Header.Write(os.Stdout)
		fmt.Println()
	}
	if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return errors.New(resp.Status)
	}
	return nil
}
