// Command buckthornpick-relay is the daemon on every entry VM of the users'
// platform. It forwards callers' requests to backend servers and shares quotas
// and duties with the other entries.
package main

import (
	"net/http"
	"time"

	"buckthornpick/internal/cli"
	"buckthornpick/internal/config"
	"buckthornpick/internal/duty"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/relayd"
	"buckthornpick/platform"
)

const (
	storeTimeout = 1500 * time.Millisecond
	cloudTimeout = 1200 * time.Millisecond
)

func main() {
	relayd.Daemon(relayd.Adapter{
		Codec: platform.Codec{},
		Store: func(s config.RelaySettings, client *http.Client, p *cli.Process) follow.Store {
			return platform.NewStore(platform.StoreConfig{Address: s.Store, Timeout: storeTimeout}, client, p.Metrics)
		},
		Cloud: func(s config.RelaySettings, client *http.Client) duty.Cloud {
			return &platform.Cloud{Address: s.Cloud, Holder: s.Node.ID, Timeout: cloudTimeout, Client: client}
		},
		ReadinessPath: platform.ReadinessPath,
		DocumentKey:   platform.DocumentKey, DecodeDocument: platform.DecodeDocument,
		ServersPrefix: platform.ServersPrefix, DecodeServer: platform.DecodeServer,
		Rollouts: platform.RolloutKeys(),
	}).Main()
}
