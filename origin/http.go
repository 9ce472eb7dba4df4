package origin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Protocol of the HTTP adapter:
//
//	GET /v1/values/<key>                            200, body = value, header ETag = its tag
//	GET /v1/values/<key>?after=<tag>                long poll: responds once the tag differs; 304 after the server's poll time
//	GET /v1/instances/<failure domain>?after=<n>    200, body = InstanceList as JSON, once its version exceeds n; 304 as above
//
// Status 404 means ErrNotFound and 429 means ErrThrottled. Every other status, and an error in the transport or the body,
// means ErrUnavailable. Each segment of a key is escaped separately. A tag is opaque.
const (
	valuesPath    = "v1/values"
	instancesPath = "v1/instances"
	afterParam    = "after"
)

// Limits of the HTTP adapter.
const (
	// maxListBytes is the size limit of an instance list.
	maxListBytes = 4 << 20
	// readTimeout is the timeout of one read of a value.
	readTimeout = 5 * time.Second
	// pollTimeout is the timeout of one long poll; it must exceed the server's poll time.
	pollTimeout = 60 * time.Second
)

// HTTP is a Source that reads from the platform over HTTP. It is safe for concurrent use.
type HTTP struct {
	// OnInvalid is called with the error of each entry of an instance list that is not used; it may be nil. It must not be
	// changed after the first call of a method.
	OnInvalid func(error)
	base      *url.URL
	client    *http.Client
}

// NewHTTP returns a source for the platform at the URL base, such as "http://192.0.2.7:8500". If client is nil,
// http.DefaultClient is used. The adapter sets its own timeouts, so the client needs none.
func NewHTTP(base string, client *http.Client) (*HTTP, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrap(err, "platform URL cannot be parsed; use the form http://192.0.2.7:8500")
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, errors.Errorf("platform URL %q has no http or https scheme, or no host; use the form http://192.0.2.7:8500", base)
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
	resp, err := h.get(ctx, valuesPath, key, after, timeout, MaxValueBytes)
	if err != nil || !resp.changed {
		return Value{}, false, err
	}
	return Value{Data: resp.body, Tag: resp.tag}, true, nil
}

func (h *HTTP) list(ctx context.Context, failureDomain string, after uint64) (InstanceList, bool, error) {
	var version string
	if after > 0 {
		version = strconv.FormatUint(after, 10)
	}
	resp, err := h.get(ctx, instancesPath, failureDomain, version, pollTimeout, maxListBytes)
	if err != nil || !resp.changed {
		return InstanceList{}, false, err
	}
	list, err := h.decodeList(resp.body)
	if err != nil {
		return InstanceList{}, false, errors.Wrapf(ErrUnavailable, "instance list of failure domain %q is not valid JSON: %v", failureDomain, err)
	}
	if list.FailureDomain != failureDomain {
		return InstanceList{}, false, errors.Wrapf(ErrUnavailable, "instance list is for failure domain %q, want %q", list.FailureDomain, failureDomain)
	}
	return list, true, nil
}

// decodeList decodes an instance list. Its entries are decoded one by one, so that an invalid one does not affect the others.
func (h *HTTP) decodeList(body []byte) (InstanceList, error) {
	var wire struct {
		FailureDomain string            `json:"failureDomain"`
		Version       uint64            `json:"version"`
		Instances     []json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return InstanceList{}, err
	}
	list := InstanceList{FailureDomain: wire.FailureDomain, Version: wire.Version}
	listed := map[string]bool{}
	for _, raw := range wire.Instances {
		inst, err := decodeInstance(raw)
		if err == nil && listed[inst.Name] {
			err = errors.Wrapf(ErrInstance, "%.80q is listed twice", inst.Name)
		}
		if err != nil {
			if h.OnInvalid != nil {
				h.OnInvalid(errors.Wrap(err, wire.FailureDomain))
			}
			continue
		}
		listed[inst.Name] = true
		list.Instances = append(list.Instances, inst)
	}
	return list, nil
}

// ErrInstance is reported for an invalid entry of an instance list. Other entries are not affected.
var ErrInstance = errors.New("entry of the instance list is invalid; correct or remove it")

func decodeInstance(raw json.RawMessage) (Instance, error) {
	var inst Instance
	if err := json.Unmarshal(raw, &inst); err != nil {
		return Instance{}, errors.Wrapf(ErrInstance, "%.80q: %v", inst.Name, err)
	}
	switch {
	case inst.Name == "" || inst.Service == "":
		return Instance{}, errors.Wrapf(ErrInstance, "%.80q has no name or no service", inst.Name)
	case inst.State != Live && inst.State != Leaving:
		return Instance{}, errors.Wrapf(ErrInstance, "%.80q has the unknown state %.80q", inst.Name, inst.State)
	}
	for _, addr := range []string{inst.PeerAddr, inst.RequestAddr} {
		if !validAddr(addr) {
			return Instance{}, errors.Wrapf(ErrInstance, "%.80q has the address %.80q, which is not host:port", inst.Name, addr)
		}
	}
	return inst, nil
}

// validAddr reports whether addr is a host and a port above 0.
func validAddr(addr string) bool {
	host, text, err := net.SplitHostPort(addr)
	if err != nil || host == "" {
		return false
	}
	port, err := strconv.ParseUint(text, 10, 16)
	return err == nil && port > 0
}

// response is a successful response; changed is false for status 304.
type response struct {
	body    []byte
	tag     string
	changed bool
}

func (h *HTTP) get(ctx context.Context, path, name, after string, timeout time.Duration, limit int64) (response, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(callCtx, http.MethodGet, h.address(path, name, after), nil)
	if err != nil {
		return response{}, errors.Wrapf(ErrUnavailable, "%s: %v", name, err)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return response{}, transportError(ctx, name, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		body, err := readBounded(resp.Body, limit)
		if err != nil {
			return response{}, transportError(ctx, name, err)
		}
		return response{body: body, tag: resp.Header.Get("ETag"), changed: true}, nil
	case http.StatusNotModified:
		return response{}, nil
	case http.StatusNotFound:
		return response{}, errors.Wrap(ErrNotFound, name)
	case http.StatusTooManyRequests:
		return response{}, errors.Wrap(ErrThrottled, name)
	}
	return response{}, errors.Wrapf(ErrUnavailable, "%s: status %d", name, resp.StatusCode)
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

// transportError returns the error of ctx if ctx has ended, and otherwise ErrUnavailable with the cause.
func transportError(ctx context.Context, name string, err error) error {
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
		return nil, errors.Errorf("response exceeds %d bytes", limit)
	}
	return body, nil
}
