package main

import "fmt"

// The service on which the cases play, and its workers.

const (
	rackCount      = 3
	workersPerRack = 2
	workerCPU      = 16000
	quickPrefix    = "/kontrola/"
	studyPrefix    = "/studie/"
)

// putConfig writes the configuration, as the operator does.
func (s *site) putConfig(version int) {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": clientHost, "pathPrefix": prefix, "timeoutMs": 3000, "targetDurationMs": 600, "priority": priority,
			"service": poolName, "maxAttempts": 4, "stretch": 1.6,
		}
	}
	s.table.Put("op", "config", map[string]any{
		"version": version, "routes": []any{route("kontrola", quickPrefix, 0), route("studie", studyPrefix, 1)},
		"services": []any{map[string]any{"name": poolName}, map[string]any{"name": spareName, "standby": true}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
}

// startRacks starts the workers of so many racks.
func (f *fleet) startRacks(count int) error {
	for i := range count {
		for k := range workersPerRack {
			if _, err := f.addWorker(fmt.Sprintf("m-%d-%d", i+1, k+1), poolName, fmt.Sprintf("r1-%d", i+1), workerCPU); err != nil {
				return err
			}
		}
	}
	return nil
}
