package main

import (
	gauge "sapphiregauge"
	"sapphiregauge/internal/conf"
	"sapphiregauge/internal/entry"
)

// resources is what a process may use. What its clients may hold follows from it.
type resources struct {
	memoryMiB, files int
}

func defaultResources() *resources {
	return &resources{memoryMiB: entry.DefaultMemoryBytes >> 20, files: entry.DefaultMaxFiles}
}

// Bounds of the settings.
const (
	minMemoryMiB   = 256
	maxMemoryMiB   = 1 << 20
	minDescriptors = 256
	maxDescriptors = 1 << 20
)

func (r *resources) settings() conf.List {
	return conf.List{
		{Flag: "memory", Help: "MiB of memory that the process may use; callers may hold a quarter, other entries an eighth", Dest: &r.memoryMiB, Check: between(&r.memoryMiB, minMemoryMiB, maxMemoryMiB)},
		{Flag: "files", Help: "file descriptors that the process may open; of all but 200, callers may hold a third, other entries a quarter", Dest: &r.files, Check: between(&r.files, minDescriptors, maxDescriptors)},
	}
}

func between(v *int, least, most int) func(*gauge.Faults, string) {
	return func(fs *gauge.Faults, field string) {
		if *v < least || *v > most {
			fs.Add(field, "is %d, must lie between %d and %d", *v, least, most)
		}
	}
}

func (r *resources) memoryBytes() int { return r.memoryMiB << 20 }
