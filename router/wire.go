package router

// Names on the wire. They keep the words of the first releases, because clients and operators' tools read them (docs/glossary.md).
const (
	// VersionHeader is the response header with the version of the configuration under which a request was sent.
	VersionHeader = "X-Blueprint-Version"
	// AttemptsHeader is the response header with the number of attempts that a request took.
	AttemptsHeader = "X-Shots"
	// AttemptColumn is the name of the attempt's number in rows of requests and throttles.
	AttemptColumn = "shot"
	// JoinerState is the state of a joiner, a core that is not yet a member, in rows of members.
	JoinerState = "stranger"
)
