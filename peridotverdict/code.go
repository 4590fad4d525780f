package peridotverdict

// Codes of refusals and failures. docs/REFUSALS.md explains each of them.
const (
	// Errors of the caller: the request cannot succeed unless it is changed.
	BadRequest      Code = "bad_request"
	BadKey          Code = "bad_key"
	UnknownRoute    Code = "unknown_route"
	UnknownModel    Code = "unknown_model"
	WrongMethod     Code = "wrong_method"
	TooLarge        Code = "too_large"
	NotAllowed      Code = "not_allowed"
	KeyReused       Code = "idempotency_key_reused"
	UnknownRequest  Code = "unknown_request"
	RequestTimedOut Code = "request_timeout"

	// Load and limits: the caller may retry later.
	AccountLimit     Code = "account_limit"
	Overloaded       Code = "overloaded"
	DeadlineTooShort Code = "deadline_too_short"
	DeadlinePassed   Code = "deadline_passed"
	RetryBudgetSpent Code = "retry_budget_spent"
	// PromptQuarantined is for prompts that have a part under which backend servers ended.
	PromptQuarantined Code = "prompt_quarantined"
	// RequestQuarantined is for requests that ended backend servers when they came before.
	RequestQuarantined Code = "request_quarantined"

	// Unavailable parts of the system, and failures while a request runs.
	NoBackend        Code = "no_backend"
	ConfigStale      Code = "config_stale"
	ShuttingDown     Code = "shutting_down"
	Leaving          Code = "leaving"
	StillRunning     Code = "still_running"
	MayHaveRunBefore Code = "may_have_run"
	ResultExpired    Code = "result_expired"
	EngineFailed     Code = "engine_failed"
	ShortAnswer      Code = "short_answer"
	PeerLost         Code = "peer_lost"
	PeerRefused      Code = "peer_refused"
	Canceled         Code = "canceled"
	Internal         Code = "internal"

	// Table service, leases and orders.
	StoreUnavailable Code = "store_unavailable"
	Conflict         Code = "conflict"
	LeaseLost        Code = "lease_lost"
	StaleToken       Code = "stale_token"
	TokenUnknown     Code = "token_unknown"
	OrderBusy        Code = "order_busy"
	PlanMoved        Code = "plan_moved"
	CostCeiling      Code = "cost_ceiling"
)
