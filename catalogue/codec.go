package catalogue

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/document"
)

// Prefixes of the keys of a catalogue's document; the name of the entry follows.
const (
	organisationPrefix = "organisation/"
	regionPrefix       = "region/"
	linkPrefix         = "link/"
	instancePrefix     = "instance/"
	servicePrefix      = "service/"
	routePrefix        = "route/"
)

// Encode returns the catalogue as a document: one entry for each named item.
func Encode(c *Catalogue) (*document.Document, error) {
	var e encoder
	for _, v := range c.Organisations {
		e.add(organisationPrefix+v.Name, v)
	}
	for _, v := range c.Regions {
		e.add(regionPrefix+v.Name, v)
	}
	for _, v := range c.Links {
		e.add(linkPrefix+v.Between[0]+"/"+v.Between[1], v)
	}
	for _, v := range c.Instances {
		e.add(instancePrefix+v.Name, v)
	}
	for _, v := range c.Services {
		e.add(servicePrefix+v.Name, v)
	}
	for _, v := range c.Routes {
		e.add(routePrefix+v.Name, v)
	}
	if e.err != nil {
		return nil, e.err
	}
	return document.New(DocumentName, c.Revision, document.DefaultChunks, e.entries)
}

type encoder struct {
	entries []document.Entry
	err     error
}

func (e *encoder) add(key string, v any) {
	data, err := document.Marshal(v)
	if err != nil && e.err == nil {
		e.err = errors.Wrapf(err, "entry %q", key)
	}
	e.entries = append(e.entries, document.Entry{Key: key, Value: data})
}

// Decode returns the catalogue that a document holds. Items are ordered by chunk and key.
// It does not check references; see Check.
func Decode(doc *document.Document) (*Catalogue, error) {
	c := &Catalogue{Revision: doc.Revision()}
	var err error
	doc.All(func(e document.Entry) bool {
		err = errors.Wrapf(c.decodeEntry(e), "entry %q", e.Key)
		return err == nil
	})
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Catalogue) decodeEntry(e document.Entry) error {
	kind, _, ok := strings.Cut(e.Key, "/")
	if !ok {
		return errors.New("key has no kind; publish the catalogue with chervilwellctl render")
	}
	switch kind + "/" {
	case organisationPrefix:
		return decodeInto(e.Value, &c.Organisations)
	case regionPrefix:
		return decodeInto(e.Value, &c.Regions)
	case linkPrefix:
		return decodeInto(e.Value, &c.Links)
	case instancePrefix:
		return decodeInto(e.Value, &c.Instances)
	case servicePrefix:
		return decodeInto(e.Value, &c.Services)
	case routePrefix:
		return decodeInto(e.Value, &c.Routes)
	}
	return errors.Errorf("kind %q is unknown; update this process or publish with a matching chervilwellctl", kind)
}

func decodeInto[T any](data []byte, list *[]T) error {
	var v T
	if err := document.Unmarshal(data, &v); err != nil {
		return err
	}
	*list = append(*list, v)
	return nil
}
