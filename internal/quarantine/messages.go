package quarantine

// crashMsg marks a fingerprint.
type crashMsg struct {
	Fingerprint uint64 `msgpack:"f"`
	Attempt     string `msgpack:"a"`
	Server      string `msgpack:"s"`
}

// crashReply confirms a mark.
type crashReply struct {
	Crashes int `msgpack:"n"`
}

// clearMsg clears the mark of an answered content.
type clearMsg struct {
	Fingerprint uint64 `msgpack:"f"`
}

// trialMsg asks for leave to run a marked content at a backend server, or
// gives the leave back.
type trialMsg struct {
	Fingerprint uint64 `msgpack:"f"`
	Server      string `msgpack:"s"`
	Attempt     string `msgpack:"a"`
}

// trialReply answers a trialMsg. Crashes is what the coordinator knows.
type trialReply struct {
	IsGranted bool `msgpack:"g"`
	Crashes   int  `msgpack:"n"`
}
