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

// Action is what a Change does to the list.
type Action string

// The actions, as messages spell them.
const (
	Admit  Action = "admit"
	Remove Action = "retire"
	Leave  Action = "leave" // asked for by the member itself
)

const (
	minMembers = 3
	// minMembersAfterLoss is the least size after the removal of a member whose disk is gone for sure: the list is the weaker already.
	minMembersAfterLoss = 2
	maxMembers          = 15
	// maxID is the highest ID that a member can have: 16 million admissions in the life of a fleet.
	maxID = 1<<register.MemberBits - 1
	// JoinerTimeout is the age of its last hello at which a joiner no longer counts.
	JoinerTimeout = 3 * time.Second
)

// Joiner is a core that is no member and asks to be admitted, as it last introduced itself.
type Joiner struct {
	Name, Address, Zone string
	Incarnation         string
	CaughtUp            bool // it has all that a majority had committed
	HeardAt             time.Time
}

// Change admits a joiner, or takes a member off the list.
type Change struct {
	Action Action `json:"do"`
	Name   string `json:"name"`
	// MemberID is the ID of the member to be taken off, so that a late copy never meets a successor of its name; 0: whoever has the name.
	MemberID uint32 `json:"id,omitempty"`
	// Incarnation is that of the joiner to be admitted; empty: whoever calls under the name.
	Incarnation string `json:"incarnation,omitempty"`
	// ReplacedBy is the incarnation that stands at the member's name or address now, so that the member's disk is gone for sure; empty if
	// that is not known.
	ReplacedBy string `json:"lost,omitempty"`
}

// Apply works out the change of the members' register, under the guards of each action; none if it was made before. The errors are
// apierror.Conflict while keys are still transferred, apierror.NotFound, Exists, Behind and OutOfRange.
func (c Change) Apply(fields register.Fields, view View, now time.Time) (register.Fields, error) {
	list := Decode(fields)
	if list.Unreadable != "" {
		return nil, apierror.New(apierror.Malformed, "the field %s of the members cannot be read", list.Unreadable)
	}
	if c.isDone(list) {
		return nil, nil
	}
	if list.Previous != nil {
		return nil, apierror.New(apierror.Conflict, "the change of members before is not carried through yet")
	}
	change, err := c.apply(fields, list, view, now)
	if err != nil {
		return nil, err
	}
	change[PreviousField], _ = json.Marshal(list.Members) // plain structs always encode
	return change, nil
}

// IsIdempotent reports whether a copy of the change that arrives late can do no harm.
func (c Change) IsIdempotent() bool { return c.MemberID != 0 || c.Incarnation != "" }

// isDone reports whether the list shows that the change was made before: the member of that ID is off it, or the joiner of that incarnation
// is on it. IDs are never given twice.
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
	if !slices.ContainsFunc(list.Members, c.concerns) {
		return nil, apierror.New(apierror.NotFound, "no member %q, or not under the number %d", c.Name, c.MemberID)
	}
	if c.Action == Remove {
		if err := c.checkRemoval(list, view); err != nil {
			return nil, err
		}
	} else if !view.MayLeave(list.Members, c.Name) {
		return nil, apierror.New(apierror.OutOfRange, "%d members would be left: too few", len(list.Members)-1)
	}
	return register.Fields{c.Name: nil, HighestIDField: encodeID(list.HighestID)}, nil
}

// concerns reports whether a member is the one that the change takes off.
func (c Change) concerns(m config.Member) bool {
	return m.Name == c.Name && (c.MemberID == 0 || m.ID == c.MemberID)
}

// checkRemoval makes sure that enough members are left, and a majority of them live.
func (c Change) checkRemoval(list List, view View) error {
	live := 0
	for _, name := range view.Live {
		if name != c.Name {
			live++
		}
	}
	least := minMembers
	if c.ReplacedBy != "" {
		least = minMembersAfterLoss
	}
	if left := len(list.Members) - 1; left < least || live < Majority(left) {
		return apierror.New(apierror.OutOfRange, "%d members would be left, %d of them live: too few", left, live)
	}
	return nil
}

func encodeID(id uint32) json.RawMessage { return json.RawMessage(strconv.FormatUint(uint64(id), 10)) }
