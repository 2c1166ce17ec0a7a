package load

import "time"

const (
	kilobyte = 1024
	megabyte = 1024 * kilobyte
)

// Demo returns callers shaped on the two deployments of the demo's records.
func Demo() []Kind {
	return []Kind{
		{Name: "quotes", Service: "stockroom", Method: "GET", Path: "/pages/holder", Keys: 200, Work: 2 * time.Millisecond, Callers: 6, Pause: 10 * time.Millisecond, Timeout: 5 * time.Second},
		{Name: "stock writes", Service: "stockroom", Method: "POST", Path: "/lines", Keys: 200, Work: 3 * time.Millisecond, Body: 2 * kilobyte, Callers: 3, Pause: 20 * time.Millisecond, Timeout: 5 * time.Second},
		{Name: "deposits", Service: "ledgerwax", Method: "POST", Path: "/deposits", Work: 5 * time.Millisecond, Body: kilobyte, OnceOnly: true, Callers: 4, Pause: 30 * time.Millisecond, Timeout: 5 * time.Second},
		{Name: "uploads", Service: "lightbox", Method: "POST", Path: "/uploads", Work: 20 * time.Millisecond, Body: 8 * megabyte, Callers: 2, Pause: 200 * time.Millisecond, Timeout: 30 * time.Second},
		{Name: "archive reads", Service: "waxarchive", Method: "GET", Path: "/plans/1987", Work: 200 * time.Millisecond, Answer: megabyte, Callers: 4, Pause: 50 * time.Millisecond, Timeout: 20 * time.Second},
		{Name: "map reloads", Service: "carte", Method: "GET", Path: "/map/d785", Work: 2 * time.Millisecond, Callers: 6, Pause: 10 * time.Millisecond, Timeout: 3 * time.Second},
		{Name: "work orders", Service: "chantier", Method: "POST", Path: "/orders", Work: 5 * time.Millisecond, Body: kilobyte, OnceOnly: true, Callers: 3, Pause: 30 * time.Millisecond, Timeout: 5 * time.Second},
		{Name: "photo bundles", Service: "photos", Method: "GET", Path: "/bundles/7", Work: 50 * time.Millisecond, Answer: 4 * megabyte, Callers: 2, Pause: 100 * time.Millisecond, Timeout: 30 * time.Second},
		{Name: "old plans", Service: "archives", Method: "GET", Path: "/plans/3", Keys: 200, Work: 50 * time.Millisecond, Answer: 100 * kilobyte, Callers: 3, Pause: 50 * time.Millisecond, Timeout: 20 * time.Second},
	}
}
