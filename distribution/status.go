package distribution

import (
	"time"

	"github.com/chervilwell/chervilwell/membership"
)

// Role is the role of a process in the relay tree.
type Role string

// The roles of a process.
const (
	// RoleLeaf receives documents from a parent and relays them to its children, if any.
	RoleLeaf Role = "leaf"
	// RoleRoot is the root of the relay tree of its failure domain.
	RoleRoot Role = "root"
	// RoleReader is a root that reads the platform.
	RoleReader Role = "reader"
	// RolePuller is a root that pulls across the link between regions.
	RolePuller Role = "puller"
)

// Status is the state of a process in the distribution.
type Status struct {
	Phase     Phase
	Role      Role
	Parent    string
	Upstreams []string
	Children  []string
	Versions  []DocumentVersion
	// Members is the number of instances known in all failure domains, whether members or not.
	Members int
	// Reads lists the open reads of the platform: "manifest", and the failure domains whose lists are watched.
	Reads []string
	// SourceFailing reports that the last read of the platform failed.
	SourceFailing bool
	// JoinRounds is the number of rounds of the current or last join.
	JoinRounds int
}

// Status returns the state of the process for operators and tests.
func (c *Core) Status(now time.Time) Status {
	s := Status{
		Phase: c.phase, Role: c.role(), Parent: c.tree.parent,
		Upstreams: sortedNames(c.tree.upstreams), Children: sortedNames(c.relay.children),
		Versions: append([]DocumentVersion(nil), c.store.versions...), Members: c.members.Len(),
		SourceFailing: c.reader.failing, JoinRounds: c.join.round,
	}
	if c.reader.manifest != nil {
		s.Reads = append(s.Reads, "manifest")
	}
	s.Reads = append(s.Reads, sortedNames(c.reader.lists)...)
	return s
}

func (c *Core) role() Role {
	switch {
	case c.tree.pulling:
		return RolePuller
	case c.reader.manifest != nil:
		return RoleReader
	case c.tree.root:
		return RoleRoot
	}
	return RoleLeaf
}

// Members returns the members of a failure domain in rank order.
func (c *Core) Members(now time.Time, failureDomain string) []*membership.Member {
	return c.members.Order(now, failureDomain)
}
