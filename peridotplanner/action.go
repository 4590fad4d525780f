package peridotplanner

import "peridotstack/peridotconfig"

// Action is a change of the fleet that the caller of Plan carries out. Its only
// types are SetRole, LoadModel, AddServer and RemoveServer.
type Action interface {
	action()
}

// SetRole changes the role of an engine once the engine has finished its
// requests.
type SetRole struct {
	Engine string
	Domain string
	From   peridotconfig.Role
	To     peridotconfig.Role
}

// LoadModel changes the model and the role of an engine once the engine has
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

// RemoveServer returns a backend server once it has finished its requests.
type RemoveServer struct {
	Engine string
	Model  string
	Domain string
}

func (SetRole) action()      {}
func (LoadModel) action()    {}
func (AddServer) action()    {}
func (RemoveServer) action() {}
