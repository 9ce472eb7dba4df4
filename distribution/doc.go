// Package distribution decides how documents are distributed through the fleet: which processes read the platform, the
// relay tree between processes, what is sent and accepted, and when a process has caught up with its peers.
//
// It is a pure state machine. Step takes the time and one event and returns the actions to perform; there is no I/O, no
// clock and no goroutine, and the caller seeds the randomness, so the same events reproduce a run exactly.
//
// Invariants:
//   - The revision of a stored document never decreases, and one revision is stored with one digest only.
//   - A document is stored, applied and forwarded only after its digest was verified and, for the catalogue, after Check
//     accepted it as a whole.
//   - Whether a document is accepted does not depend on which process is parent or reader: a wrong role costs bandwidth,
//     never correctness.
//   - Parents rank before their children, so the relay tree has no cycle even if the processes' views differ.
package distribution
