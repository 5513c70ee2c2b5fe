// Package fill sets the defaults of configuration fields.
package fill

// Zero sets a field to value if it has its zero value.
func Zero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
