package limit

import (
	gauge "sapphiregauge"
)

// fits reports whether an amount is within a bound, as to the resources that the limit bounds.
func fits(limit, amount, bound gauge.Resources) bool {
	return (limit.MilliCPU == 0 || amount.MilliCPU <= bound.MilliCPU) &&
		(limit.MemoryMB == 0 || amount.MemoryMB <= bound.MemoryMB) &&
		(limit.Accels == 0 || amount.Accels <= bound.Accels)
}

// larger and smaller choose for each resource by itself.
func larger(a, b gauge.Resources) gauge.Resources {
	return gauge.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accels: max(a.Accels, b.Accels)}
}

func smaller(a, b gauge.Resources) gauge.Resources {
	return gauge.Resources{MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), Accels: min(a.Accels, b.Accels)}
}

func scaled(a gauge.Resources, times, by int) gauge.Resources {
	return gauge.Resources{MilliCPU: a.MilliCPU * times / by, MemoryMB: a.MemoryMB * times / by, Accels: a.Accels * times / by}
}
