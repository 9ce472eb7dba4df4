package origin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// The wire of the HTTP adapter.
//
//	GET /v1/values/<key>                            200, body = value, header ETag = its tag
//	GET /v1/values/<key>?after=<tag>                the same as soon as the tag differs; 304 if it didn't within the server's poll time
//	GET /v1/instances/<failure domain>?after=<n>    200, body = InstanceList as JSON, as soon as its version exceeds n; 304 as above
//
// Status 404 stands for ErrNotFound and 429 for ErrThrottled. Every other status, and a failure of the transport or
// of the body, stands for ErrUnavailable. The segments of a key are escaped one by one. A tag is opaque.
const (
	valuesPath    = "v1/values"
	instancesPath = "v1/instances"
	afterParam    = "after"
)

// Bounds of the HTTP adapter.
const (
	// maxListBytes is the largest list of instances that is read.
	maxListBytes = 4 << 20
	// readTimeout bounds one read of a value.
	readTimeout = 5 * time.Second
	// pollTimeout bounds one long poll; it must exceed the server's poll time.
	pollTimeout = 60 * time.Second
)

// HTTP is a Source that reads from the platform by HTTP. It is safe for concurrent use.
type HTTP struct {
	base   *url.URL
	client *http.Client
}

// NewHTTP returns a source for the platform at base, such as "http://192.0.2.7:8500". A nil client stands for
// http.DefaultClient. Timeouts are the adapter's own, so the client needs none.
func NewHTTP(base string, client *http.Client) (*HTTP, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrap(err, "platform URL can't be parsed; write it like http://192.0.2.7:8500")
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, errors.Errorf("platform URL %q has no scheme or host; write it like http://192.0.2.7:8500", base)
	}
	if client == nil {
		client = http.DefaultClient
	}
	return &HTTP{base: u, client: client}, nil
}

// Read implements Source.
func (h *HTTP) Read(ctx context.Context, key string) (Value, error) {
	v, _, err := h.value(ctx, key, "", readTimeout)
	return v, err
}

// Watch implements Source.
func (h *HTTP) Watch(ctx context.Context, key, after string) (Value, error) {
	for {
		v, changed, err := h.value(ctx, key, after, pollTimeout)
		if err != nil || changed {
			return v, err
		}
	}
}

// Instances implements Source.
func (h *HTTP) Instances(ctx context.Context, failureDomain string, after uint64) (InstanceList, error) {
	for {
		list, changed, err := h.list(ctx, failureDomain, after)
		if err != nil || changed {
			return list, err
		}
	}
}

func (h *HTTP) value(ctx context.Context, key, after string, timeout time.Duration) (Value, bool, error) {
	a, err := h.get(ctx, valuesPath, key, after, timeout, MaxValueBytes)
	if err != nil || !a.changed {
		return Value{}, false, err
	}
	return Value{Data: a.body, Tag: a.tag}, true, nil
}

func (h *HTTP) list(ctx context.Context, failureDomain string, after uint64) (InstanceList, bool, error) {
	var text string
	if after > 0 {
		text = strconv.FormatUint(after, 10)
	}
	a, err := h.get(ctx, instancesPath, failureDomain, text, pollTimeout, maxListBytes)
	if err != nil || !a.changed {
		return InstanceList{}, false, err
	}
	var list InstanceList
	if err := json.Unmarshal(a.body, &list); err != nil {
		return InstanceList{}, false, errors.Wrapf(ErrUnavailable, "list of %q is not JSON: %v", failureDomain, err)
	}
	if list.FailureDomain != failureDomain {
		return InstanceList{}, false, errors.Wrapf(ErrUnavailable, "list of %q came for %q", list.FailureDomain, failureDomain)
	}
	return list, true, nil
}

// answer is a successful response; changed is false for status 304.
type answer struct {
	body    []byte
	tag     string
	changed bool
}

func (h *HTTP) get(ctx context.Context, path, name, after string, timeout time.Duration, limit int64) (answer, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(callCtx, http.MethodGet, h.address(path, name, after), nil)
	if err != nil {
		return answer{}, errors.Wrapf(ErrUnavailable, "%s: %v", name, err)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return answer{}, failure(ctx, name, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		body, err := readBounded(resp.Body, limit)
		if err != nil {
			return answer{}, failure(ctx, name, err)
		}
		return answer{body: body, tag: resp.Header.Get("ETag"), changed: true}, nil
	case http.StatusNotModified:
		return answer{}, nil
	case http.StatusNotFound:
		return answer{}, errors.Wrap(ErrNotFound, name)
	case http.StatusTooManyRequests:
		return answer{}, errors.Wrap(ErrThrottled, name)
	}
	return answer{}, errors.Wrapf(ErrUnavailable, "%s: status %d", name, resp.StatusCode)
}

func (h *HTTP) address(path, name, after string) string {
	segments := strings.Split(name, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	u := h.base.JoinPath(path).String() + "/" + strings.Join(segments, "/")
	if after != "" {
		u += "?" + url.Values{afterParam: {after}}.Encode()
	}
	return u
}

// failure returns the caller's context error if that ended the call, else ErrUnavailable with the cause.
func failure(ctx context.Context, name string, err error) error {
	if ctx.Err() != nil {
		return errors.Wrap(ctx.Err(), name)
	}
	return errors.Wrapf(ErrUnavailable, "%s: %v", name, err)
}

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errors.Errorf("answer exceeds %d bytes", limit)
	}
	return body, nil
}
