package config

import (
	"fmt"
	"time"
)

// PlannerSettings is the settings file of buckthornpick-planner.
type PlannerSettings struct {
	Node  NodeSettings  `json:"node"`
	Admin AdminSettings `json:"admin"`
	Store StoreSettings `json:"store"`
	Cloud CloudSettings `json:"cloud"`
	Log   LogSettings   `json:"log"`
}

// SetDefaults sets the documented default values.
func (s *PlannerSettings) SetDefaults() {
	s.Node.Region = defaultRegion
	s.Admin.Address = "127.0.0.1:9091"
	s.Store.Timeout = defaultStoreTimeout
	s.Cloud.Timeout = defaultCloudTimeout
	s.Log.Level = defaultLogLevel
}

// Validate returns all problems of the values.
func (s *PlannerSettings) Validate() Problems {
	var ps Problems
	s.Node.validate(&ps)
	s.Admin.validate(&ps)
	s.Store.validate(&ps)
	s.Cloud.validate(&ps)
	s.Log.validate(&ps)
	return ps
}

// ControlSettings is the settings file of bpctl.
type ControlSettings struct {
	// AdminURLs are the base URLs of entries' admin listeners, tried in order;
	// at least one.
	AdminURLs []string `json:"adminUrls"`
	// Token is the operators' bearer token; Token or TokenFile is required.
	Token string `json:"token"`
	// TokenFile is the path of a file with the token; default empty.
	TokenFile string `json:"tokenFile"`
	// CAFile is the path of a PEM file with the certificate authorities of the admin
	// listeners' certificates; default empty, which selects the system's.
	CAFile string `json:"caFile"`
	// Timeout bounds one call; default "10s".
	Timeout Duration `json:"timeout"`
	// Author is the name recorded in the history; default the user of the operating
	// system.
	Author string `json:"author"`
}

// SetDefaults sets the documented default values.
func (s *ControlSettings) SetDefaults() { s.Timeout = Duration(10 * time.Second) }

// Validate returns all problems of the values.
func (s *ControlSettings) Validate() Problems {
	var ps Problems
	if len(s.AdminURLs) == 0 {
		ps.add("adminUrls", "", "expected at least one URL")
	}
	for i, u := range s.AdminURLs {
		requireHTTPURL(&ps, fmt.Sprintf("adminUrls[%d]", i), u)
	}
	if (s.Token == "") == (s.TokenFile == "") {
		ps.add("token", "", "expected either token or tokenFile")
	}
	requirePositive(&ps, "timeout", s.Timeout)
	return ps
}
