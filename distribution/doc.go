// Package distribution decides how documents travel through the fleet: who reads the platform, who relays to whom, what is
// sent, what is accepted and when a process has caught up with its peers.
//
// It is a pure state machine. Step takes the time and one event and returns the actions to perform; there is no I/O, no
// clock and no goroutine, and randomness is seeded by the caller, so a run is reproduced exactly from its events.
//
// Invariants:
//   - The revision of a document held never falls, and one revision is held with one digest only.
//   - A document is held, applied and forwarded only after its digest was verified and, for the catalogue, after Check
//     accepted it as a whole.
//   - No reference to who is parent or reader affects what is accepted: roles cost bytes, never correctness.
//   - Parents rank before their children, so the relay tree has no cycle whatever the views differ in.
package distribution
