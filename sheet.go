package arbutusfork

// SheetRow is the expected demand of one customer for one model during a part of the day.
type SheetRow struct {
	Model    string `json:"model"`
	Customer string `json:"customer"`
	// From and Until are minutes after midnight UTC. Until is exclusive and above From.
	From  int `json:"from"`
	Until int `json:"until"`
	// Requests is the expected number of requests per hour.
	Requests float64 `json:"requests"`
	// Tokens is the expected number of tokens per request.
	Tokens int64 `json:"tokens"`
}

// Sheet is the accepted forecast of a day.
type Sheet struct {
	Rows []SheetRow `json:"rows"`
}
