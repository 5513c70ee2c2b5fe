// Package order serves operators' changes of records over HTTP. Read requests go through package
// query.
package order

import (
	"context"
	"encoding/json"

	"github.com/gofiber/fiber/v3"

	gauge "sapphiregauge"
	"sapphiregauge/internal/apply"
	"sapphiregauge/internal/front"
)

// Config sets up Orders.
type Config struct {
	Apply func(ctx context.Context, s apply.Submission) (apply.Result, error)
	// Applied is called after a submission succeeded, with the revision that Apply returned.
	Applied func(revision int64)
}

// Orders handles operators' changes.
type Orders struct {
	conf Config
}

// New returns Orders.
func New(c Config) *Orders { return &Orders{conf: c} }

// Register adds the routes to a group that checks the operators' key.
func (o *Orders) Register(r fiber.Router) { r.Post("/apply", o.handleApply) }

func (o *Orders) handleApply(c fiber.Ctx) error {
	var sub apply.Submission
	if err := json.Unmarshal(c.Body(), &sub); err != nil {
		return front.Problem(c, gauge.Errorf(gauge.KindInvalid, "body: %s", err))
	}
	res, err := o.conf.Apply(c.Context(), sub)
	if err != nil {
		return front.Problem(c, err)
	}
	o.conf.Applied(res.Revision)
	return c.JSON(res)
}
