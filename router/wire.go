package router

// Names on the wire that keep their first words, so that callers and operators read what they always read (docs/glossary.md).
const (
	// VersionHeader has the version of the configuration under which a request was sent.
	VersionHeader = "X-Blueprint-Version"
	// AttemptsHeader has the number of attempts that a request took.
	AttemptsHeader = "X-Shots"
	// AttemptColumn is the attempt's number in rows of requests and holds.
	AttemptColumn = "shot"
	// JoinerState is the state of a core that would be a member, in rows of members.
	JoinerState = "stranger"
)
