package catalogue

import "github.com/chervilwell/chervilwell/document"

// Manifest names one published catalogue: its version and the digests of its chunks in order.
// It is published after its chunks, so that a reader that sees it finds them.
type Manifest struct {
	Revision uint64            `json:"revision"`
	Digest   document.Digest   `json:"digest"`
	Chunks   []document.Digest `json:"chunks"`
}

// ManifestOf returns the manifest of a catalogue's document.
func ManifestOf(doc *document.Document) Manifest {
	return Manifest{Revision: doc.Revision(), Digest: doc.Digest(), Chunks: doc.ChunkDigests()}
}

// Version returns the version that the manifest names.
func (m Manifest) Version() document.Version {
	return document.Version{Revision: m.Revision, Digest: m.Digest}
}
