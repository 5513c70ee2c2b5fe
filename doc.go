// Package sapphiregauge holds the domain model of a fleet capacity and maintenance manager: the
// types that operators and callers use, the interfaces between the parts of the software, and the
// closed list of error kinds.
//
// It does no input or output and starts no goroutine. Its interfaces are implemented below
// internal/; packages that others may import are below pkg/.
package sapphiregauge
