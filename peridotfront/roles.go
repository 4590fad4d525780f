package peridotfront

import (
	"context"

	"github.com/apex/log"

	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
)

// roleControl keeps the decisions on role changes, by service.
type roleControl map[string]*peridotplace.Roles

// orderRoles orders the role changes that are due. An order that is not
// confirmed may still be carried out; the platform's client sees to it that it
// cannot take effect behind another one.
func (d *duties) orderRoles(ctx context.Context, duty Duty) {
	f := d.front
	config := f.config.Load()
	if config == nil {
		return
	}
	for _, service := range config.Services {
		if service.Engine == nil {
			continue
		}
		roles := d.roles[service.Name]
		if roles == nil {
			roles = &peridotplace.Roles{}
			d.roles[service.Name] = roles
		}
		f.mu.Lock()
		change, ok := roles.Next(f.now(), f.placer, service.Name)
		if ok {
			roles.Ordered(f.now(), change)
		}
		f.mu.Unlock()
		if _, held := d.duty(); !ok || !held {
			continue
		}
		b := change.Backend
		err := f.platform.OrderRole(ctx, duty, RoleOrder{Backend: b.ID, Address: b.Address, Prefill: change.To == peridotsite.Prefill})
		f.metrics.Count("role_orders")
		fields := log.Fields{"backend": b.ID, "service": service.Name, "to": int(change.To), "token": duty.Token}
		if err != nil {
			f.metrics.Count("role_order_failures")
			log.WithFields(fields).WithError(err).Warn(logPrefix + "role change is not confirmed")
			continue
		}
		log.WithFields(fields).Info(logPrefix + "ordered a role change")
	}
}
