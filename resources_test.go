package sapphiregauge_test

import (
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

func TestCoresOfAHostByTheScarcestResource(t *testing.T) {
	host := gauge.Resources{MilliCPU: 16_000, MemoryMB: 64_000, Accels: 8}
	for _, tt := range []struct {
		name  string
		needs gauge.Resources
		host  gauge.Resources
		want  float64
	}{
		{"cores", gauge.Resources{MilliCPU: 4_000, MemoryMB: 8_000}, host, 4},
		{"memory", gauge.Resources{MilliCPU: 2_000, MemoryMB: 16_000}, host, 4},
		{"accelerators", gauge.Resources{MilliCPU: 2_000, MemoryMB: 4_000, Accels: 4}, host, 8},
		{"no cores", gauge.Resources{MemoryMB: 32_000}, host, 8},
		{"host without accelerators", gauge.Resources{MilliCPU: 1_000, Accels: 1}, gauge.Resources{MilliCPU: 16_000, MemoryMB: 64_000}, 1},
		{"unknown host", gauge.Resources{MilliCPU: 1_500, MemoryMB: 64_000}, gauge.Resources{}, 1.5},
	} {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, tt.needs.CoresOf(tt.host), tt.want) })
	}
}
