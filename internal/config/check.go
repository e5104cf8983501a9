package config

import (
	"encoding/hex"
	"fmt"
	"net"
	"slices"
	"strings"
)

// callKinds are the kinds of calls that a rule may match.
var callKinds = []string{"chat", "completion", "plain"}

// priorities are the priorities that a rule may match or set.
var priorities = []string{"high", "normal", "low"}

// keyHashBytes is the length of a SHA-256 hash.
const keyHashBytes = 32

// Check returns all problems of the document except those that are found by
// comparing the rules with each other; rules.Compile reports these.
func Check(doc *Document) Problems {
	c := &documentChecker{doc: doc, services: map[string]*Service{}}
	c.checkServices()
	c.checkOrganisations()
	c.checkRules()
	c.checkOlderSystem()
	return c.problems
}

// documentChecker collects the problems of one document. services is filled by
// checkServices and used by the checks of the rules.
type documentChecker struct {
	doc      *Document
	services map[string]*Service
	problems Problems
}

func (c *documentChecker) checkServices() {
	serviceByModel := map[string]string{}
	for i := range c.doc.Services {
		s := &c.doc.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		c.checkName(path, s.Name, c.services[s.Name] != nil)
		c.services[s.Name] = s
		c.checkServiceKind(path, s)
		for j, m := range s.Models {
			field := fmt.Sprintf("%s.models[%d]", path, j)
			if m == "" {
				c.problems.add(field, s.Name, "expected a model name, got an empty string")
			} else if other, ok := serviceByModel[m]; ok {
				c.problems.add(field, s.Name, "model %q is already a model of service %q", m, other)
			}
			serviceByModel[m] = s.Name
		}
		c.checkServiceNumbers(path, s)
	}
}

func (c *documentChecker) checkServiceKind(path string, s *Service) {
	switch s.Kind {
	case ModelService:
		if len(s.Models) == 0 {
			c.problems.add(path+".models", s.Name, "a model service needs at least one model")
		}
		if len(s.NonRepeatable) > 0 {
			c.problems.add(path+".nonRepeatable", s.Name, "only plain services have this field")
		}
	case PlainService:
		if len(s.Models) > 0 {
			c.problems.add(path+".models", s.Name, "only model services have this field")
		}
	default:
		c.problems.add(path+".kind", s.Name, "expected %q or %q, got %q", ModelService, PlainService, s.Kind)
	}
	switch s.StoreOutage {
	case "", OutageRefuse, OutageOwner:
	default:
		c.problems.add(path+".storeOutage", s.Name, "expected %q or %q, got %q", OutageRefuse, OutageOwner, s.StoreOutage)
	}
	for i, m := range s.NonRepeatable {
		if m.PathPrefix != "" && !strings.HasPrefix(m.PathPrefix, "/") {
			c.problems.add(fmt.Sprintf("%s.nonRepeatable[%d].pathPrefix", path, i), s.Name,
				"expected a path that begins with \"/\", got %q", m.PathPrefix)
		}
	}
}

func (c *documentChecker) checkServiceNumbers(path string, s *Service) {
	c.requireNonNegative(path+".target.firstTokenMillis", s.Name, s.Target.FirstTokenMillis)
	c.requireNonNegative(path+".target.betweenTokensMillis", s.Name, s.Target.BetweenTokensMillis)
	c.requireNonNegative(path+".target.answerMillis", s.Name, s.Target.AnswerMillis)
	c.requireNonNegative(path+".weights.recomputedTokenMillis", s.Name, s.Weights.RecomputedTokenMillis)
	c.requireNonNegative(path+".weights.priceMillis", s.Name, s.Weights.PriceMillis)
	c.requireNonNegative(path+".timeoutSeconds", s.Name, s.TimeoutSeconds)
	c.requireNonNegative(path+".maxConcurrentPerServer", s.Name, float64(s.MaxConcurrentPerServer))
	c.requireNonNegative(path+".retryBudget", s.Name, s.RetryBudget)
}

func (c *documentChecker) checkOrganisations() {
	names := map[string]bool{}
	organisationByHash := map[string]string{}
	for i := range c.doc.Organisations {
		o := &c.doc.Organisations[i]
		path := fmt.Sprintf("organisations[%d]", i)
		c.checkName(path, o.Name, names[o.Name])
		names[o.Name] = true
		for j, h := range o.KeyHashes {
			field := fmt.Sprintf("%s.keyHashes[%d]", path, j)
			if raw, err := hex.DecodeString(h); err != nil || len(raw) != keyHashBytes || h != strings.ToLower(h) {
				c.problems.add(field, o.Name, "expected %d lower-case hexadecimal digits of a SHA-256 sum", 2*keyHashBytes)
			} else if other, ok := organisationByHash[h]; ok {
				c.problems.add(field, o.Name, "the same key hash is listed for organisation %q", other)
			}
			organisationByHash[h] = o.Name
		}
		c.requireNonNegative(path+".requestsPerSecond", o.Name, o.RequestsPerSecond)
		c.requireNonNegative(path+".burst", o.Name, float64(o.Burst))
		c.requireNonNegative(path+".maxConcurrent", o.Name, float64(o.MaxConcurrent))
		c.requireNonNegative(path+".share", o.Name, o.Share)
	}
}

func (c *documentChecker) checkOlderSystem() {
	if c.doc.OlderSystem == nil {
		return
	}
	if _, _, err := net.SplitHostPort(c.doc.OlderSystem.Address); err != nil {
		c.problems.add("olderSystem.address", "", "expected \"host:port\", got %q", c.doc.OlderSystem.Address)
	}
	c.requireNonNegative("olderSystem.pricePerHour", "", c.doc.OlderSystem.PricePerHour)
}

// checkName checks the name of the object at path.
func (c *documentChecker) checkName(path, name string, duplicate bool) {
	switch {
	case name == "":
		c.problems.add(path+".name", "", "expected a name, got an empty string")
	case duplicate:
		c.problems.add(path+".name", name, "the name is used twice")
	case strings.ContainsAny(name, "/ \t\n"):
		c.problems.add(path+".name", name, "a name has no spaces and no \"/\"")
	}
}

func (c *documentChecker) requireNonNegative(field, name string, v float64) {
	if !(v >= 0) {
		c.problems.add(field, name, "expected 0 or more, got %v", v)
	}
}

// checkList checks that each value of a list is allowed and is listed only once.
// what is the noun for a value in the messages.
func (c *documentChecker) checkList(field, name, what string, values []string, allowed func(string) bool) {
	for i, v := range values {
		elementPath := fmt.Sprintf("%s[%d]", field, i)
		switch {
		case !allowed(v):
			c.problems.add(elementPath, name, "unknown %s %q", what, v)
		case slices.Contains(values[:i], v):
			c.problems.add(elementPath, name, "%s %q is listed twice", what, v)
		}
	}
}
