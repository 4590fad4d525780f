package peridotconfig

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Changes is a list of changes that can be encoded as JSON.
type Changes []Change

// envelope is the JSON encoding of one change. Exactly one field is set.
type envelope struct {
	PutDomain      *PutDomain      `json:",omitempty"`
	PutModel       *PutModel       `json:",omitempty"`
	PutService     *PutService     `json:",omitempty"`
	PutAccount     *PutAccount     `json:",omitempty"`
	GiveKey        *GiveKey        `json:",omitempty"`
	WithdrawKey    *WithdrawKey    `json:",omitempty"`
	PurgeKeys      *PurgeKeys      `json:",omitempty"`
	AppointPanel   *AppointPanel   `json:",omitempty"`
	RelievePanels  *RelievePanels  `json:",omitempty"`
	PutOperator    *PutOperator    `json:",omitempty"`
	SetDeployments *SetDeployments `json:",omitempty"`
}

// MarshalJSON encodes each change as an object with one member, whose name is the
// name of the change's type.
func (c Changes) MarshalJSON() ([]byte, error) {
	list := make([]envelope, 0, len(c))
	for _, ch := range c {
		e, err := newEnvelope(ch)
		if err != nil {
			return nil, err
		}
		list = append(list, e)
	}
	return json.Marshal(list)
}

// UnmarshalJSON decodes the encoding of MarshalJSON. It returns an error if it does
// not know the type of a change: applying only the other changes of a commit would
// make the configurations of the processes differ.
func (c *Changes) UnmarshalJSON(data []byte) error {
	var list []envelope
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	*c = nil
	for _, e := range list {
		ch, err := e.toChange()
		if err != nil {
			return err
		}
		*c = append(*c, ch)
	}
	return nil
}

func newEnvelope(ch Change) (envelope, error) {
	switch ch := ch.(type) {
	case PutDomain:
		return envelope{PutDomain: &ch}, nil
	case PutModel:
		return envelope{PutModel: &ch}, nil
	case PutService:
		return envelope{PutService: &ch}, nil
	case PutAccount:
		return envelope{PutAccount: &ch}, nil
	case GiveKey:
		return envelope{GiveKey: &ch}, nil
	case WithdrawKey:
		return envelope{WithdrawKey: &ch}, nil
	case PurgeKeys:
		return envelope{PurgeKeys: &ch}, nil
	case AppointPanel:
		return envelope{AppointPanel: &ch}, nil
	case RelievePanels:
		return envelope{RelievePanels: &ch}, nil
	case PutOperator:
		return envelope{PutOperator: &ch}, nil
	case SetDeployments:
		return envelope{SetDeployments: &ch}, nil
	default:
		return envelope{}, errors.Errorf("unknown change %T", ch)
	}
}

func (e envelope) toChange() (Change, error) {
	switch {
	case e.PutDomain != nil:
		return *e.PutDomain, nil
	case e.PutModel != nil:
		return *e.PutModel, nil
	case e.PutService != nil:
		return *e.PutService, nil
	case e.PutAccount != nil:
		return *e.PutAccount, nil
	case e.GiveKey != nil:
		return *e.GiveKey, nil
	case e.WithdrawKey != nil:
		return *e.WithdrawKey, nil
	case e.PurgeKeys != nil:
		return *e.PurgeKeys, nil
	case e.AppointPanel != nil:
		return *e.AppointPanel, nil
	case e.RelievePanels != nil:
		return *e.RelievePanels, nil
	case e.PutOperator != nil:
		return *e.PutOperator, nil
	case e.SetDeployments != nil:
		return *e.SetDeployments, nil
	default:
		return nil, errors.New("a change of unknown kind")
	}
}
