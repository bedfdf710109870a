package arbutusfork

// DemandSheetRow is the expected demand of one customer for one model during a part of the day.
type DemandSheetRow struct {
	Model    string `json:"model"`
	Customer string `json:"customer"`
	// StartMinute and EndMinute are minutes after midnight UTC. EndMinute is exclusive and above From.
	StartMinute int `json:"from"`
	EndMinute   int `json:"until"`
	// RequestsPerHour is the expected number of requests per hour.
	RequestsPerHour float64 `json:"requests"`
	// TokensPerRequest is the expected number of tokens per request.
	TokensPerRequest int64 `json:"tokens"`
}

// DemandSheet is the accepted forecast of a day.
type DemandSheet struct {
	Rows []DemandSheetRow `json:"rows"`
}
