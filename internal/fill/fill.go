// Package fill gives settings their defaults.
package fill

// Zero sets a field that was left at its zero value.
func Zero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
