package quarantine

import "buckthornpick/internal/blame"

// crashMsg reports a crash to a peer, which marks the fingerprint.
type crashMsg struct {
	Fingerprint uint64 `msgpack:"f"`
	Attempt     string `msgpack:"a"`
	Server      string `msgpack:"s"`
	// Parts are blamed for Crash; unset in messages of earlier software versions.
	Parts []blame.Key `msgpack:"p,omitempty"`
	Crash blame.Crash `msgpack:"i,omitempty"`
	// AgeMillis is the time since the connection to the server was lost.
	AgeMillis int64 `msgpack:"m,omitempty"`
}

// crashReply confirms a crashMsg. Crashes is the number of crashes that the peer
// has recorded for the fingerprint.
type crashReply struct {
	Crashes int `msgpack:"n"`
}

// clearMsg tells a peer to clear the mark of a content whose trial ended with a
// complete answer, or the parts of a prompt that were answered.
type clearMsg struct {
	Fingerprint uint64         `msgpack:"f"`
	Parts       []blame.Record `msgpack:"p,omitempty"`
}

// partTrialMsg requests the permission to try a blocked part of prompts.
type partTrialMsg struct {
	Part blame.Key `msgpack:"p"`
}

// partTrialReply answers a partTrialMsg.
type partTrialReply struct {
	IsGranted bool         `msgpack:"g"`
	Record    blame.Record `msgpack:"r"`
}

// trialMsg requests the permission to run a marked content on a backend server,
// or returns it.
type trialMsg struct {
	Fingerprint uint64 `msgpack:"f"`
	Server      string `msgpack:"s"`
	Attempt     string `msgpack:"a"`
}

// trialReply answers a trialMsg. Crashes is the number of crashes that the
// coordinator has recorded for the fingerprint.
type trialReply struct {
	IsGranted bool `msgpack:"g"`
	Crashes   int  `msgpack:"n"`
}
