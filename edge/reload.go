package edge

import (
	"github.com/redwingtally/redwingtally/budget"
	"github.com/redwingtally/redwingtally/settings"
)

// Reload applies the store address and the retry settings of s. Other settings
// take effect only after a restart. The reason is logged.
func (e *Edge) Reload(s settings.Edge, reason string) {
	old := e.settings.StoreAddress
	if s.StoreAddress != old {
		e.store.Store(e.newStoreClient(s.StoreAddress)) // calls in progress finish on the old client
	}
	e.mu.Lock()
	e.settings.StoreAddress = s.StoreAddress
	e.settings.RetryRatio, e.settings.RetryExtra, e.settings.RetryWindow = s.RetryRatio, s.RetryExtra, s.RetryWindow
	limits := e.retryLimits()
	for _, service := range e.services {
		service.setLimits(limits)
	}
	e.mu.Unlock()
	e.log.Info("settings: Reloaded.", "reason", reason, "store", s.StoreAddress.String(), "store_changed", s.StoreAddress != old,
		"retry_ratio", s.RetryRatio, "retry_extra", s.RetryExtra, "retry_window", s.RetryWindow)
}

// retryLimits returns the limits of the retry budget from the settings.
func (e *Edge) retryLimits() budget.Limits {
	return budget.Limits{Ratio: e.settings.RetryRatio, Extra: e.settings.RetryExtra, Window: e.settings.RetryWindow}
}
