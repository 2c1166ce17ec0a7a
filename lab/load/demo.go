package load

import "time"

const (
	kilobyte = 1024
	megabyte = 1024 * kilobyte
)

// DemoGroups returns callers for the services of the two demo deployments.
func DemoGroups() []CallerGroup {
	return []CallerGroup{
		{Name: "quotes", Service: "stockroom", Method: "GET", Path: "/pages/holder", KeyCount: 200, ServiceTime: 2 * time.Millisecond, Callers: 6, MeanPause: 10 * time.Millisecond, Timeout: 5 * time.Second},
		{Name: "stock writes", Service: "stockroom", Method: "POST", Path: "/lines", KeyCount: 200, ServiceTime: 3 * time.Millisecond, RequestBytes: 2 * kilobyte, Callers: 3, MeanPause: 20 * time.Millisecond, Timeout: 5 * time.Second},
		{Name: "deposits", Service: "ledgerwax", Method: "POST", Path: "/deposits", ServiceTime: 5 * time.Millisecond, RequestBytes: kilobyte, AtMostOnce: true, Callers: 4, MeanPause: 30 * time.Millisecond, Timeout: 5 * time.Second},
		{Name: "uploads", Service: "lightbox", Method: "POST", Path: "/uploads", ServiceTime: 20 * time.Millisecond, RequestBytes: 8 * megabyte, Callers: 2, MeanPause: 200 * time.Millisecond, Timeout: 30 * time.Second},
		{Name: "archive reads", Service: "waxarchive", Method: "GET", Path: "/plans/1987", ServiceTime: 200 * time.Millisecond, ResponseBytes: megabyte, Callers: 4, MeanPause: 50 * time.Millisecond, Timeout: 20 * time.Second},
		{Name: "map reloads", Service: "carte", Method: "GET", Path: "/map/d785", ServiceTime: 2 * time.Millisecond, Callers: 6, MeanPause: 10 * time.Millisecond, Timeout: 3 * time.Second},
		{Name: "work orders", Service: "chantier", Method: "POST", Path: "/orders", ServiceTime: 5 * time.Millisecond, RequestBytes: kilobyte, AtMostOnce: true, Callers: 3, MeanPause: 30 * time.Millisecond, Timeout: 5 * time.Second},
		{Name: "photo bundles", Service: "photos", Method: "GET", Path: "/bundles/7", ServiceTime: 50 * time.Millisecond, ResponseBytes: 4 * megabyte, Callers: 2, MeanPause: 100 * time.Millisecond, Timeout: 30 * time.Second},
		{Name: "old plans", Service: "archives", Method: "GET", Path: "/plans/3", KeyCount: 200, ServiceTime: 50 * time.Millisecond, ResponseBytes: 100 * kilobyte, Callers: 3, MeanPause: 50 * time.Millisecond, Timeout: 20 * time.Second},
	}
}
