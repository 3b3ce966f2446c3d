package catalog

import (
	"sort"
	"strings"
)

// Config is one published version of the configuration.
type Config struct {
	Version  int64
	Limits   Limits
	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
	keys     map[string]*Organisation
	routes   int
	keyed    bool
}

// KeyHolder is an organisation with its keys, as published.
type KeyHolder struct {
	Organisation
	Keys []string
}

// NewConfig builds a configuration and its indexes. It takes the values over.
func NewConfig(version int64, limits Limits, routes []Route, services []Service, holders []KeyHolder) *Config {
	c := &Config{
		Version:  version,
		Limits:   limits,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(services)),
		keys:     make(map[string]*Organisation),
		routes:   len(routes),
		keyed:    len(holders) > 0,
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.byHost[host] = append(c.byHost[host], &routes[i])
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	for i := range services {
		c.services[services[i].Name] = &services[i]
	}
	for i := range holders {
		for _, key := range holders[i].Keys {
			c.keys[key] = &holders[i].Organisation
		}
	}
	return c
}

// Route returns the route with the longest prefix of path at a virtual host.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (c *Config) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Organisation returns the holder of a key.
func (c *Config) Organisation(key string) (*Organisation, bool) {
	o, ok := c.keys[key]
	return o, ok
}

// RequiresKey reports whether requests need a key at all.
func (c *Config) RequiresKey() bool { return c.keyed }

// Routes returns the number of routes.
func (c *Config) Routes() int { return c.routes }
