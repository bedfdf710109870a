package arbutusfork

// DemandSheetRow is the expected demand of one customer for one model during a part of the day.
type DemandSheetRow struct {
	Model    string `json:"model"`
	Customer string `json:"customer"`
	// StartMinute is the start of the period in minutes after midnight UTC.
	StartMinute int `json:"from"`
	// EndMinute is the end of the period in minutes after midnight UTC. It is exclusive and above StartMinute.
	EndMinute int `json:"until"`
	// RequestsPerHour is the expected number of requests per hour.
	RequestsPerHour float64 `json:"requests"`
	// TokensPerRequest is the expected number of tokens per request.
	TokensPerRequest int64 `json:"tokens"`
}

// DemandSheet is the forecast of a day's demand.
type DemandSheet struct {
	Rows []DemandSheetRow `json:"rows"`
}
