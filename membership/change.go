package membership

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/register"
)

// Action is the kind of a Change.
type Action string

// The actions, with their names on the wire.
const (
	Admit  Action = "admit"
	Remove Action = "retire"
	Leave  Action = "leave" // requested by the member itself
)

const (
	minMembers = 3
	// minMembersAfterLoss is the smallest list that the removal of a member with a lost disk may leave. It is lower than minMembers because
	// the loss has already weakened the list.
	minMembersAfterLoss = 2
	maxMembers          = 15
	// maxID is the highest ID of a member; it allows 16 million admissions over the lifetime of a fleet.
	maxID = 1<<register.MemberBits - 1
	// JoinerTimeout is the age of the last hello beyond which a joiner is ignored.
	JoinerTimeout = 3 * time.Second
)

// Joiner is a core that is not a member and asks to be admitted, as described by its last hello message.
type Joiner struct {
	Name, Address, Zone string
	Incarnation         string
	CaughtUp            bool // it has every key that a majority has committed
	HeardAt             time.Time
}

// LostDisk returns the member that has the joiner's address with another disk, which may be lost. It reports false if there is none, or if
// the joiner was not heard recently. It is no proof: the joiner's hello may be late, and the joiner's life be over.
func (j Joiner) LostDisk(members []config.Member, now time.Time) (config.Member, bool) {
	if now.Sub(j.HeardAt) > JoinerTimeout {
		return config.Member{}, false
	}
	for _, m := range members {
		if m.Address == j.Address && m.Incarnation != j.Incarnation {
			return m, true
		}
	}
	return config.Member{}, false
}

// Change admits a joiner, or takes a member off the list.
type Change struct {
	Action Action `json:"do"`
	Name   string `json:"name"`
	// MemberID is the ID of the member to be taken off the list, so that a delayed duplicate cannot remove a later member of the same name;
	// 0: any member of that name.
	MemberID uint32 `json:"id,omitempty"`
	// Incarnation is that of the joiner to be admitted; empty: any joiner of that name.
	Incarnation string `json:"incarnation,omitempty"`
	// ReplacedBy is the incarnation that now uses the member's name or address, which proves that the member's disk is lost; empty if no
	// such incarnation is known.
	ReplacedBy string `json:"lost,omitempty"`
}

// Apply returns the update of the members' register, after checking the preconditions of the action; nil if the change was made before. The
// errors are apierror.Conflict while keys are being transferred, Malformed if the list is unreadable, NotFound, Exists, Behind and OutOfRange.
func (c Change) Apply(fields register.Fields, view View, now time.Time) (register.Fields, error) {
	list := Decode(fields)
	if list.Unreadable != "" {
		return nil, apierror.New(apierror.Malformed, "field %s of the member list is unreadable", list.Unreadable)
	}
	if c.isDone(list) {
		return nil, nil
	}
	if list.Previous != nil {
		return nil, apierror.New(apierror.Conflict, "keys are still being transferred after the previous membership change")
	}
	change, err := c.apply(fields, list, view, now)
	if err != nil {
		return nil, err
	}
	change[PreviousField], _ = json.Marshal(list.Members) // plain structs always encode
	return change, nil
}

// IsIdempotent reports whether a delayed duplicate of the change has no effect.
func (c Change) IsIdempotent() bool { return c.MemberID != 0 || c.Incarnation != "" }

// isDone reports whether the change was made before: the member with that ID is no longer on the list, or the joiner of that incarnation is
// on it. IDs are never reused.
func (c Change) isDone(list List) bool {
	if c.Action == Admit {
		return c.Incarnation != "" && HasIncarnation(list.Members, c.Incarnation)
	}
	isMember := slices.ContainsFunc(list.Members, func(m config.Member) bool { return m.ID == c.MemberID })
	return c.MemberID != 0 && c.MemberID <= list.HighestID && !isMember
}

func (c Change) apply(fields register.Fields, list List, view View, now time.Time) (register.Fields, error) {
	if c.Action == Admit {
		member, err := view.newMember(c.Name, c.Incarnation, list, now)
		if err != nil {
			return nil, err
		}
		change := config.Field(member.Name, member)
		change[HighestIDField] = encodeID(member.ID)
		return change, nil
	}
	if c.Action != Remove && c.Action != Leave {
		return nil, apierror.New(apierror.OutOfRange, "%q is none of admit, retire and leave", c.Action)
	}
	if !slices.ContainsFunc(list.Members, c.matches) {
		return nil, apierror.New(apierror.NotFound, "no member named %q with ID %d (0: any ID)", c.Name, c.MemberID)
	}
	if c.Action == Remove {
		if err := c.checkRemoval(list, view); err != nil {
			return nil, err
		}
	} else if !view.MayLeave(list.Members, c.Name) {
		return nil, apierror.New(apierror.OutOfRange, "%d members would remain: too few", len(list.Members)-1)
	}
	return register.Fields{c.Name: nil, HighestIDField: encodeID(list.HighestID)}, nil
}

// matches reports whether a member is the one that the change takes off.
func (c Change) matches(m config.Member) bool {
	return m.Name == c.Name && (c.MemberID == 0 || m.ID == c.MemberID)
}

// checkRemoval makes sure that enough members remain and that a majority of them is live.
func (c Change) checkRemoval(list List, view View) error {
	live := 0
	for _, name := range view.Live {
		if name != c.Name {
			live++
		}
	}
	minRemaining := minMembers
	if c.ReplacedBy != "" {
		minRemaining = minMembersAfterLoss
	}
	if left := len(list.Members) - 1; left < minRemaining || live < Majority(left) {
		return apierror.New(apierror.OutOfRange, "%d members would remain, %d of them live: too few", left, live)
	}
	return nil
}

func encodeID(id uint32) json.RawMessage { return json.RawMessage(strconv.FormatUint(uint64(id), 10)) }
