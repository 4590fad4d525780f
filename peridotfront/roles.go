package peridotfront

import "context"

// roleControl decides which engines read prompts.
type roleControl struct{}

// orderRoles orders role changes that are due.
func (d *duties) orderRoles(context.Context, Duty) {}
