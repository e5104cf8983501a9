package config

import (
	"encoding/hex"
	"fmt"
	"net"
	"slices"
	"strings"
)

// callKinds are the kinds of call that a rule may name.
var callKinds = []string{"chat", "completion", "plain"}

// priorities are those that a rule may name.
var priorities = []string{"high", "normal", "low"}

// keyHashBytes is the length of a key's SHA-256 sum.
const keyHashBytes = 32

// Check returns every fault of the document except those that need the rules
// to be compared with each other; rules.Compile adds these.
func Check(doc *Document) Problems {
	c := &documentCheck{doc: doc, services: map[string]*Service{}}
	c.checkServices()
	c.checkOrganisations()
	c.checkRules()
	c.checkOlderSystem()
	return c.problems
}

type documentCheck struct {
	doc      *Document
	services map[string]*Service
	problems Problems
}

func (c *documentCheck) checkServices() {
	models := map[string]string{}
	for i := range c.doc.Services {
		s := &c.doc.Services[i]
		at := fmt.Sprintf("services[%d]", i)
		c.checkName(at, s.Name, c.services[s.Name] != nil)
		c.services[s.Name] = s
		c.checkServiceKind(at, s)
		for j, m := range s.Models {
			field := fmt.Sprintf("%s.models[%d]", at, j)
			if m == "" {
				c.problems.add(field, s.Name, "expected a model name, got an empty string")
			} else if other, ok := models[m]; ok {
				c.problems.add(field, s.Name, "model %q is already a model of service %q", m, other)
			}
			models[m] = s.Name
		}
		c.checkServiceNumbers(at, s)
	}
}

func (c *documentCheck) checkServiceKind(at string, s *Service) {
	switch s.Kind {
	case ModelService:
		if len(s.Models) == 0 {
			c.problems.add(at+".models", s.Name, "a model service needs at least one model")
		}
		if len(s.NonRepeatable) > 0 {
			c.problems.add(at+".nonRepeatable", s.Name, "only plain services have this field")
		}
	case PlainService:
		if len(s.Models) > 0 {
			c.problems.add(at+".models", s.Name, "only model services have this field")
		}
	default:
		c.problems.add(at+".kind", s.Name, "expected %q or %q, got %q", ModelService, PlainService, s.Kind)
	}
	switch s.StoreOutage {
	case "", OutageRefuse, OutageOwner:
	default:
		c.problems.add(at+".storeOutage", s.Name, "expected %q or %q, got %q", OutageRefuse, OutageOwner, s.StoreOutage)
	}
	for i, m := range s.NonRepeatable {
		if m.PathPrefix != "" && !strings.HasPrefix(m.PathPrefix, "/") {
			c.problems.add(fmt.Sprintf("%s.nonRepeatable[%d].pathPrefix", at, i), s.Name,
				"expected a path that begins with \"/\", got %q", m.PathPrefix)
		}
	}
}

func (c *documentCheck) checkServiceNumbers(at string, s *Service) {
	c.notNegative(at+".target.firstTokenMillis", s.Name, s.Target.FirstTokenMillis)
	c.notNegative(at+".target.betweenTokensMillis", s.Name, s.Target.BetweenTokensMillis)
	c.notNegative(at+".target.answerMillis", s.Name, s.Target.AnswerMillis)
	c.notNegative(at+".weights.recomputedTokenMillis", s.Name, s.Weights.RecomputedTokenMillis)
	c.notNegative(at+".weights.priceMillis", s.Name, s.Weights.PriceMillis)
	c.notNegative(at+".timeoutSeconds", s.Name, s.TimeoutSeconds)
	c.notNegative(at+".maxConcurrentPerServer", s.Name, float64(s.MaxConcurrentPerServer))
	c.notNegative(at+".retryBudget", s.Name, s.RetryBudget)
}

func (c *documentCheck) checkOrganisations() {
	names := map[string]bool{}
	owners := map[string]string{}
	for i := range c.doc.Organisations {
		o := &c.doc.Organisations[i]
		at := fmt.Sprintf("organisations[%d]", i)
		c.checkName(at, o.Name, names[o.Name])
		names[o.Name] = true
		for j, h := range o.KeyHashes {
			field := fmt.Sprintf("%s.keyHashes[%d]", at, j)
			if raw, err := hex.DecodeString(h); err != nil || len(raw) != keyHashBytes || h != strings.ToLower(h) {
				c.problems.add(field, o.Name, "expected %d lower-case hexadecimal digits of a SHA-256 sum", 2*keyHashBytes)
			} else if owner, ok := owners[h]; ok {
				c.problems.add(field, o.Name, "the same key hash is listed for organisation %q", owner)
			}
			owners[h] = o.Name
		}
		c.notNegative(at+".requestsPerSecond", o.Name, o.RequestsPerSecond)
		c.notNegative(at+".burst", o.Name, float64(o.Burst))
		c.notNegative(at+".maxConcurrent", o.Name, float64(o.MaxConcurrent))
		c.notNegative(at+".share", o.Name, o.Share)
	}
}

func (c *documentCheck) checkOlderSystem() {
	if c.doc.OlderSystem == nil {
		return
	}
	if _, _, err := net.SplitHostPort(c.doc.OlderSystem.Address); err != nil {
		c.problems.add("olderSystem.address", "", "expected \"host:port\", got %q", c.doc.OlderSystem.Address)
	}
	c.notNegative("olderSystem.pricePerHour", "", c.doc.OlderSystem.PricePerHour)
}

func (c *documentCheck) checkName(at, name string, duplicate bool) {
	switch {
	case name == "":
		c.problems.add(at+".name", "", "expected a name, got an empty string")
	case duplicate:
		c.problems.add(at+".name", name, "the name is used twice")
	case strings.ContainsAny(name, "/ \t\n"):
		c.problems.add(at+".name", name, "a name has no spaces and no \"/\"")
	}
}

func (c *documentCheck) notNegative(field, name string, v float64) {
	if !(v >= 0) {
		c.problems.add(field, name, "expected 0 or more, got %v", v)
	}
}

// oneOf checks that each value of a list is allowed, and given once.
func (c *documentCheck) oneOf(field, name, what string, values []string, allowed func(string) bool) {
	for i, v := range values {
		at := fmt.Sprintf("%s[%d]", field, i)
		switch {
		case !allowed(v):
			c.problems.add(at, name, "unknown %s %q", what, v)
		case slices.Contains(values[:i], v):
			c.problems.add(at, name, "%s %q is listed twice", what, v)
		}
	}
}
