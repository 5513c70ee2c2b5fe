// Package sapphiregauge holds the domain of a fleet capacity and maintenance
// manager: the nouns that operators and callers use, the interfaces between
// its parts, and the closed list of error kinds.
//
// It does no input or output and starts no goroutine. Implementations of its
// interfaces are below internal/, what others may import is below pkg/.
package sapphiregauge
