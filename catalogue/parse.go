package catalogue

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

func parseStrict(file string, data []byte) (*Catalogue, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: not JSON with comments", file)
	}
	dec := json.NewDecoder(bytes.NewReader(standard))
	dec.DisallowUnknownFields()
	var c Catalogue
	if err := dec.Decode(&c); err != nil {
		return nil, errors.Wrapf(err, "%s", file)
	}
	return &c, nil
}
