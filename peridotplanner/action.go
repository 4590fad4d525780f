package peridotplanner

import "peridotstack/peridotconfig"

// Action is something to be carried out. The set of actions is closed.
type Action interface {
	action()
}

// SetRole gives an engine another role, once the engine has finished its
// requests.
type SetRole struct {
	Engine string
	Domain string
	From   peridotconfig.Role
	To     peridotconfig.Role
}

// LoadModel gives an engine another model and a role, once the engine has
// finished its requests.
type LoadModel struct {
	Engine string
	Domain string
	From   string
	To     string
	Role   peridotconfig.Role
}

// AddServer orders a backend server.
type AddServer struct {
	Model  string
	Domain string
	Role   peridotconfig.Role
}

// RemoveServer returns a backend server, once it has finished its requests.
type RemoveServer struct {
	Engine string
	Model  string
	Domain string
}

func (SetRole) action()      {}
func (LoadModel) action()    {}
func (AddServer) action()    {}
func (RemoveServer) action() {}
