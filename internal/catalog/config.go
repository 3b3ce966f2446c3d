package catalog

import (
	"sort"
	"strings"
)

// Config is one published version of the configuration.
type Config struct {
	Version     int64
	Limits      Limits
	byHost      map[string][]*Route // routes by virtual host, longest prefix first
	services    map[string]*Service
	keys        map[string]*Organisation
	routes      int
	requiresKey bool

	streamPriorities map[string]*priorityRange // by service
	orgPriorities    priorityRange
}

// KeyHolder is an organisation with its keys, as the published configuration lists
// them.
type KeyHolder struct {
	Organisation
	Keys []string
}

// NewConfig builds a configuration and its indexes. The caller must not modify the
// slices afterwards.
func NewConfig(version int64, limits Limits, routes []Route, services []Service, holders []KeyHolder) *Config {
	c := &Config{
		Version:     version,
		Limits:      limits,
		byHost:      make(map[string][]*Route),
		services:    make(map[string]*Service, len(services)),
		keys:        make(map[string]*Organisation),
		routes:      len(routes),
		requiresKey: len(holders) > 0,

		streamPriorities: streamPriorities(routes),
		orgPriorities:    organisationPriorities(holders),
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.byHost[host] = append(c.byHost[host], &routes[i])
	}
	for _, hostRoutes := range c.byHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].PathPrefix) > len(hostRoutes[j].PathPrefix) })
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

// Route returns the route of a virtual host with the longest prefix of path.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Organisation returns the organisation that holds a key.
func (c *Config) Organisation(key string) (*Organisation, bool) {
	o, ok := c.keys[key]
	return o, ok
}

// RequiresKey reports whether requests on non-public routes require a key, which
// is so when any organisation is configured.
func (c *Config) RequiresKey() bool { return c.requiresKey }

// Routes returns the number of routes.
func (c *Config) Routes() int { return c.routes }
