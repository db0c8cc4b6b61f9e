package snipedaemon

import (
	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipeslot"
)

// groupConfig is the configuration of one slot group.
type groupConfig struct {
	name     string
	team     *snipeconfig.Team
	template *snipeconfig.Template
	targets  []snipeconfig.Target
}

// targetAddresses returns the addresses of the targets in each group.
func targetAddresses(groups map[string]groupConfig) map[string][]string {
	targets := make(map[string][]string, len(groups))
	for name, g := range groups {
		for _, t := range g.targets {
			targets[name] = append(targets[name], t.Address().String())
		}
	}
	return targets
}

// groupNames returns the names of the slot groups of a service in a place.
func groupNames(team, service, place string, targets []snipeconfig.Target) []string {
	addresses := make([]string, len(targets))
	for i, t := range targets {
		addresses[i] = t.Address().String()
	}
	parts := snipeslot.Split(addresses)
	names := make([]string, len(parts))
	for i := range parts {
		names[i] = snipeslot.GroupName(team, service, place, i)
	}
	return names
}

// regionGroups returns the slot groups of all services in the places of a
// region.
func regionGroups(snapshot *snipeconfig.Snapshot, region string) map[string]groupConfig {
	groups := make(map[string]groupConfig)
	for _, team := range snapshot.Teams() {
		for _, service := range team.Services() {
			for _, place := range service.Places() {
				if place.Region().Name() == region {
					addGroups(groups, service, place.Name())
				}
			}
		}
	}
	return groups
}

// addGroups adds the slot groups of a service in a place to groups.
func addGroups(groups map[string]groupConfig, service *snipeconfig.Service, place string) {
	targets := make(map[string]snipeconfig.Target)
	var addresses []string
	for _, t := range service.TargetsIn(place) {
		targets[t.Address().String()] = t
		addresses = append(addresses, t.Address().String())
	}
	for i, part := range snipeslot.Split(addresses) {
		g := groupConfig{
			name: snipeslot.GroupName(service.Team().Name(), service.Name(), place, i),
			team: service.Team(), template: service.Template(),
		}
		for _, address := range part {
			g.targets = append(g.targets, targets[address])
		}
		groups[g.name] = g
	}
}
