package main

import "runtime/debug"

// heapPercent is the part of a process's memory at which garbage is collected more often than usual.
// The rest is for the program's code, and for what the kernel has received for it.
const heapPercent = 70

// limitHeap has garbage collected more often when the process comes near to the memory that it may
// use.
func limitHeap(memoryBytes int) { debug.SetMemoryLimit(int64(memoryBytes) / 100 * heapPercent) }
