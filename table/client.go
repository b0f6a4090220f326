package table

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	spar "sardinespar.example/spar"
)

// maxReplyBytes is the largest accepted reply of the table service.
const maxReplyBytes = 64 << 20

// Client accesses the table service over HTTP.
type Client struct {
	base    string
	http    *http.Client
	clock   spar.Clock
	timeout spar.Millis
}

// NewClient returns a client of the table service at base. Each call has the given timeout.
func NewClient(base string, h *http.Client, clock spar.Clock, timeout spar.Millis) *Client {
	return &Client{base: base, http: h, clock: clock, timeout: timeout}
}

// ScanReply is the table service's reply to a scan.
type ScanReply struct {
	Rows     []spar.Row    `json:"rows"`
	Revision spar.Revision `json:"revision"`
}

// Get returns a row and whether it exists.
func (c *Client) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	var row spar.Row

	status, err := c.do(ctx, http.MethodGet, "/table/row?key="+url.QueryEscape(key), nil, &row)
	if status == http.StatusNotFound {
		return spar.Row{}, false, nil
	}

	if err != nil {
		return spar.Row{}, false, fmt.Errorf("get row %s: %w", key, err)
	}

	return row, true, nil
}

// Scan returns the rows with the given key prefix that were written after since, and the table's revision.
func (c *Client) Scan(ctx context.Context, prefix string, since spar.Revision) ([]spar.Row, spar.Revision, error) {
	var reply ScanReply

	path := "/table/scan?prefix=" + url.QueryEscape(prefix) + "&since=" + strconv.FormatInt(int64(since), 10)
	if _, err := c.do(ctx, http.MethodGet, path, nil, &reply); err != nil {
		return nil, 0, fmt.Errorf("scan rows %q: %w", prefix, err)
	}

	return reply.Rows, reply.Revision, nil
}

// Commit sends a transaction. Any error makes the verdict unknown, since the transaction may have been applied.
func (c *Client) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	body, err := json.Marshal(txn)
	if err != nil {
		panic("table: encode transaction: " + err.Error())
	}

	var commit spar.Commit
	if _, err := c.do(ctx, http.MethodPost, "/table/commit", body, &commit); err != nil {
		return spar.Commit{Verdict: spar.VerdictUnknown}
	}

	return commit
}

// do sends a request and decodes the reply. It returns the HTTP status, or 0 if there was no complete response.
func (c *Client) do(ctx context.Context, method, path string, body []byte, reply any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()

	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("build request: %w", err)
	}

	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()

	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return 0, fmt.Errorf("read reply: %w", err)
	}

	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(data))
	}

	if err := json.Unmarshal(data, reply); err != nil {
		return 0, fmt.Errorf("decode reply: %w", err)
	}

	return resp.StatusCode, nil
}
