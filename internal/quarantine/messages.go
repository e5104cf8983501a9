package quarantine

// crashMsg reports a crash to a peer, which marks the fingerprint.
type crashMsg struct {
	Fingerprint uint64 `msgpack:"f"`
	Attempt     string `msgpack:"a"`
	Server      string `msgpack:"s"`
}

// crashReply confirms a crashMsg. Crashes is the number of crashes that the peer
// has recorded for the fingerprint.
type crashReply struct {
	Crashes int `msgpack:"n"`
}

// clearMsg tells a peer to clear the mark of a content whose trial ended with a
// complete answer.
type clearMsg struct {
	Fingerprint uint64 `msgpack:"f"`
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
