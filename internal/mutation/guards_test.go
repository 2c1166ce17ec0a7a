package mutation

// guards lists the guards in the code, each with the mutation that disables it and
// the packages of which a test must fail then.
var guards = []guard{
	{"ex-id", "exchange/receive.go", `if resp.ID != x.request.ID && (resp.ID != "" || x.reused) {`, "if false {", "./exchange"},
	{"ex-id-fresh", "exchange/receive.go", `(resp.ID != "" || x.reused)`, "x.reused", "./exchange"},
	{"ex-id-reused", "exchange/receive.go", `(resp.ID != "" || x.reused)`, `resp.ID != ""`, "./exchange"},
	{"ex-signed", "exchange/receive.go", `(!resp.Signed || resp.ID == "")`, `(resp.ID == "")`, "./exchange"},
	{"ex-signed-id", "exchange/receive.go", `(!resp.Signed || resp.ID == "")`, "(!resp.Signed)", "./exchange"},
	{"ex-encoding", "exchange/receive.go", ` || resp.Header.Get("Content-Encoding") != ""`, "", "./exchange"},
	{"ex-switch", "exchange/receive.go", "resp.StatusCode == http.StatusSwitchingProtocols", "false", "./exchange"},
	{"ex-provisional", "exchange/receive.go", "if resp.StatusCode >= 200 {", "if true {", "./exchange"},
	{"ex-leftover", "exchange/receive.go", "n > 0 || err != io.EOF", "n > 9 && err != io.EOF", "./exchange"},
	{"ex-buffered", "exchange/receive.go", "if !x.stop() || x.noReuse {", "if !x.stop() {", "./exchange"},
	{"ex-stop", "exchange/receive.go", "!x.stop() || x.noReuse", "x.noReuse", "./exchange"},
	{"ex-tainted", "exchange/receive.go", "!x.stop() || x.noReuse", "!x.stop()", "./exchange"},
	{"ex-keepalive", "exchange/receive.go", "x.noReuse = x.noReuse || httpResp.Close", "", "./exchange"},
	{"ex-writing", "exchange/receive.go", "if !x.writing {", "if true {", "./exchange"},
	{"ex-rest-close", "exchange/receive.go", "if x.request.Rest != nil {", "if false {", "./exchange"},
	{"ex-writeErr", "exchange/receive.go", "x.writeErr != nil || ", "", "./exchange"},
	{"ex-alive-buf", "exchange/conn.go", " || c.reader.Buffered() > 0", "", "./exchange"},
	{"ex-alive-until", "exchange/conn.go", " || !time.Now().Before(c.expires)", "", "./exchange"},
	{"ex-alive-quiet", "exchange/conn.go", "return err == nil && noData", "return err == nil || noData", "./exchange"},
	{"ex-nolistener", "exchange/conn.go", "case errors.Is(err, syscall.ECONNREFUSED):", "case false:", "./exchange"},
	{"ex-maxhead", "exchange/receive.go", "x.conn.limit.limitTo(maxHeadBytes)", "x.conn.limit.unlimit()", "./exchange"},
	{"ex-maxerror", "exchange/receive.go", "len(resp.Body) > MaxBufferedBody && resp.Status >= 300", "false && resp.Status >= 300", "./exchange"},
	{"ex-length", "exchange/send.go", "err == nil && n != r.Length-int64(len(r.Body))", "err == nil && n < 0", "./exchange"},
	{"ex-body-close", "exchange/send.go", "if eris.Is(err, ErrRequestBody) {", "if false {", "./exchange"},
	{"ex-head-sent", "exchange/send.go", `return eris.Wrapf(ErrConnectionFailed, "head sent`, `return eris.Wrapf(ErrNotSent, "head sent`, "./exchange"},
	{"ex-late", "exchange/send.go", "if x.deadlinePassed() {", "if false {", "./exchange"},
	{"ex-unsent", "exchange/send.go", "if err != nil && n == 0 {", "if err != nil && n >= 0 {", "./exchange"},
	{"ex-unsent2", "exchange/send.go", "if n, err := x.conn.Write(head); err != nil && n == 0 {", "if _, err := x.conn.Write(head); err != nil {", "./exchange"},
	{"ex-perconn", "exchange/send.go", "if hopByHop[name] {", "if false {", "./exchange"},
	{"ex-cancel", "exchange/exchange.go", "x.stop = context.AfterFunc(ctx, conn.close)", "x.stop = func() bool { return true }", "./exchange"},
	{"ex-deadline", "exchange/exchange.go", "_ = conn.SetDeadline(d)", "_ = d", "./exchange"},
	{"ex-trans-cancel", "exchange/exchange.go", `case errors.Is(ctx.Err(), context.Canceled):
		return eris.Wrapf(ErrCancelled`, `case false:
		return eris.Wrapf(ErrCancelled`, "./exchange"},
	{"ex-readerr", "exchange/exchange.go", "if eris.Is(x.writeErr, ErrRequestBody) {", "if false {", "./exchange"},
	{"ex-failclose", "exchange/exchange.go", `x.stop()
		conn.close()
		return nil, classifyError`, `x.stop()
		return nil, classifyError`, "./exchange"},
	{"ed-once", "edge/attempt.go", "(q.route.Repeat != platform.Idempotent || q.possibleRuns >= q.route.Attempts)", "(q.possibleRuns >= q.route.Attempts)", "./edge"},
	{"ed-attempts", "edge/attempt.go", "(q.route.Repeat != platform.Idempotent || q.possibleRuns >= q.route.Attempts)", "(q.route.Repeat != platform.Idempotent)", "./edge"},
	{"ed-502", "edge/attempt.go", "case q.possibleRuns > 0 && status == http.StatusServiceUnavailable:", "case false:", "./edge"},
	{"ed-budget", "edge/attempt.go", "return q.service.takeRetry(q.callerRetry)", "return true", "./edge"},
	{"ed-rest", "edge/attempt.go", "if ctx.Err() != nil || q.body.rest != nil ||", "if ctx.Err() != nil ||", "./edge"},
	{"ed-rest2", "edge/attempt.go", "ctx.Err() == nil && q.body.rest == nil &&", "ctx.Err() == nil &&", "./edge"},
	{"ed-sends", "edge/attempt.go", "q.body.rest != nil || q.sends >= maxSends {", "q.body.rest != nil {", "./edge"},
	{"ed-sends2", "edge/attempt.go", "q.body.rest == nil && q.sends < maxSends:", "q.body.rest == nil:", "./edge"},
	{"ed-mayrun", "edge/attempt.go", `	if ran {
		q.possibleRuns++
	}`, "", "./edge"},
	{"ed-mayrun2", "edge/attempt.go", `	q.possibleRuns++
	q.clearSuspicion()`, "	q.clearSuspicion()", "./edge"},
	{"ed-answered", "edge/attempt.go", `	q.clearSuspicion()
`, "", "./edge"},
	{"ed-suspect", "edge/attempt.go", `if eris.Is(err, exchange.ErrConnectionFailed) {
		q.checkCrash(d)`, `if false {
		q.checkCrash(d)`, "./edge"},
	{"ed-drainlink", "edge/attempt.go", "if result.Outcome == scheduler.TimedOut {", "if false {", "./edge"},
	{"ed-timeout", "edge/attempt.go", "eris.Is(err, exchange.ErrTimeout), ctx.Err() != nil:", "ctx.Err() != nil:", "./edge"},
	{"ed-doubt", "edge/attempt.go", `		if q.scheduled.Keyed {
			q.edge.member.RecheckCoordinator()
		}
`, "", "./edge"},
	{"ed-callerleft", "edge/attempt.go", "if q.r.Context().Err() != nil {", "if false {", "./edge"},
	{"ed-notime", "edge/attempt.go", "case q.possibleRuns == 0 && q.sends == 0:", "case true:", "./edge"},
	{"ed-fallback", "edge/attempt.go", `	case q.fallback != nil:
		q.writeResponse(q.fallback)
	case q.possibleRuns > 0`, "	case q.possibleRuns > 0", "./edge"},
	{"ed-address", "edge/attempt.go", "platform.SetTargetHeaders(h, target, time.Until(q.deadline))", `platform.SetTargetHeaders(h, "", time.Until(q.deadline))`, "./edge"},
	{"ed-told", "edge/attempt.go", "platform.SetTargetHeaders(h, target, time.Until(q.deadline))", "platform.SetTargetHeaders(h, target, time.Minute)", "./edge"},
	{"ed-crossed", "edge/entry.go", "return info.closedByHost", "return info.closedByHost && false", "./edge"},
	{"ed-stop", "edge/entry.go", "sleep(ctx, acceptAfterShutdown)", "", "./edge"},
	{"ed-closeidle", "edge/entry.go", `	en.closeIdle(0)
`, "", "./edge"},
	{"ed-shutdown", "edge/entry.go", "err := en.server.Shutdown(ctx)", "err := en.server.Close()", "./edge"},
	{"ed-active", "edge/entry.go", "case s == http.StateActive:", "case false:", "./edge"},
	{"ed-minidle", "edge/entry.go", "max(minIdleTimeout, table.Configuration.Limits.IdleTimeout)", "table.Configuration.Limits.IdleTimeout", "./edge"},
	{"ed-drain-close", "edge/handler.go", "if e.draining.Load() {", "if false {", "./edge"},
	{"ed-crashrefuse", "edge/handler.go", "if rejected {", "if rejected && false {", "./edge"},
	{"ed-noconf", "edge/handler.go", `q.reject(http.StatusServiceUnavailable, "no_configuration", startingRetryAfter)`, `q.reject(http.StatusNotFound, "no_configuration", 0)`, "./edge"},
	{"ed-noid", "edge/handler.go", `if q.meta.ID == "" {`, "if false {", "./edge"},
	{"ed-timeoutlimit", "edge/handler.go", "if q.meta.Timeout > 0 && (limit <= 0 || q.meta.Timeout < limit) {", "if q.meta.Timeout > 0 {", "./edge"},
	{"ed-patience", "edge/handler.go", "if q.meta.Timeout > 0 && (limit <= 0 || q.meta.Timeout < limit) {", "if false {", "./edge"},
	{"ed-abort", "edge/handler.go", `q.err = err
		q.abort("answer_cut_short")`, "q.err = err", "./edge"},
	{"ed-bodylimit", "edge/body.go", "if limit > 0 && r.ContentLength > limit {", "if false {", "./edge"},
	{"ed-bodylimit2", "edge/body.go", "source = http.MaxBytesReader(w, r.Body, limit)", "", "./edge"},
	{"ed-bodydeadline", "edge/body.go", "_ = control.SetReadDeadline(deadline)", "", "./edge"},
	{"ed-ready-drain", "edge/control.go", "case e.draining.Load():", "case false:", "./edge"},
	{"ed-ready-conf", "edge/control.go", "case e.table.Load() == nil:", "case false:", "./edge"},
	{"ed-ready-targets", "edge/control.go", "case !e.feed.Loaded(platform.KindTargets):", "case false:", "./edge"},
	{"ed-confback", "edge/watch.go", "current.Configuration.Version >= c.Version {", "false && current.Configuration.Version >= c.Version {", "./edge"},
	{"ed-relist", "edge/watch.go", `listed = false
			e.log`, "e.log", "./edge"},
	{"ed-badentry", "edge/watch.go", "if o.Deleted || err != nil {", "if o.Deleted {", "./edge"},
	{"ed-malformed", "edge/watch.go", `e.log.Error("configuration: Malformed; keeping the one in force.", "version", o.Version.String(), "error", err.Error())
		return false`, "c = &platform.Configuration{}", "./edge"},
	{"ed-resign", "edge/edge.go", `	e.member.Resign(ctx)
`, "", "./edge"},
	{"ed-newsCrash", "edge/crash.go", `	e.member.ReportNow()
`, "", "./edge"},
	{"ed-listener", "edge/crash.go", "!eris.Is(err, exchange.ErrNoListener)", "!eris.Is(err, exchange.ErrNoListener) && false", "./edge"},
	{"ed-born", "edge/crash.go", `+ "/" + strconv.FormatInt(d.dispatch.Target.StartedAt.UnixMilli(), 36)}`, "}; _ = strconv.Itoa", "./edge"},
	{"ed-relay-once", "edge/relay.go", "q.possibleRuns += attempts", "q.possibleRuns += 0", "./edge"},
	{"ed-relay-hop", "edge/handler.go", "if q.relayed == nil {\n\t\t\treturn q.passOn(ctx)", "if true {\n\t\t\treturn q.passOn(ctx)", "./edge"},
	{"ed-relay-strip", "edge/attempt.go", "relay.Strip(h)", "", "./edge"},
	{"ed-relay-attempts", "edge/relayserver.go", "limited.Attempts = min(limited.Attempts, q.relayed.Attempts)", "", "./edge"},
	{"ed-relay-older", "edge/relayserver.go", "case e.table.Load().Configuration.Version < stated.Configuration:", "case false:", "./edge"},
	{"ed-relay-full", "edge/relayserver.go", "case active > maxRelayedRequests:", "case false:", "./edge"},
	{"ed-relay-deadline", "edge/relay.go", "platform.SetDeadline(h, time.Until(q.deadline))", "", "./edge"},
	{"ed-relay-drain", "edge/relayserver.go", "sleep(ctx, acceptAfterShutdown)\n\tif", "if", "./edge"},
	{"ed-relay-count", "edge/handler.go", "if !q.counted {", "if q.relayed == nil || !q.counted {", "./edge"},
	{"ed-relay-rest", "edge/relay.go", "if q.body.rest == nil {", "if true {", "./edge"},
	{"ed-relay-promise", "edge/relay.go", "if q.possibleRuns > 0 { // an earlier", "if false { // an earlier", "./edge"},
	{"ed-relay-response", "edge/relay.go", "q.possibleRuns += result.Runs", "", "./edge"},
	{"ed-interrupt", "edge/interrupt.go", "|| q.route.Repeat != platform.Idempotent || last", "|| last", "./edge"},
	{"re-result", "relay/headers.go", `d.fail(headerResult, string(r.Kind))`, "", "./relay"},
	{"re-once", "relay/headers.go", "if len(h[name]) != 1 {", "if len(h[name]) == 0 {", "./relay"},
	{"re-pause", "relay/selector.go", "if paused { // the failures", "if false { // the failures", "./relay"},
	{"re-tried", "relay/selector.go", " && !slices.Contains(tried, r.Host)", "", "./relay"},
	{"ed-owner-held", "edge/edge.go", "&& holdings[low].Held {", "{", "./edge"},
	{"ed-links-life", "edge/service.go", "clients[incarnation] = s.clients[incarnation]", "clients[incarnation] = nil", "./edge"},
	{"ed-minshare", "edge/service.go", "return max(own/max(all, own), equal*minShareFactor)", "return own / max(all, own)", "./edge"},
	{"ed-enter-leak", "edge/service.go", "if d := <-decision; !d.rejected {", "if false {", "./edge"},
	{"di-draining", "directory/directory.go", `case e.target.Draining:
`, `case false:
`, "./directory"},
	{"di-away", "directory/directory.go", "case d.platformUnavailable:", "case false:", "./directory"},
	{"di-returned", "directory/directory.go", "case now.Before(d.platformRecoveredAt.Add(reregistrationTime)):", "case false:", "./directory"},
	{"di-mass", "directory/directory.go", "case d.isMassRemoval(now, e.target.Service):", "case false:", "./directory"},
	{"di-mass-drain", "directory/directory.go", "e.target.Service != service || e.target.Draining {", "e.target.Service != service {", "./directory"},
	{"di-masscount", "directory/directory.go", "removed >= massRemovalMinCount && ", "", "./directory"},
	{"di-doubt-drain", "directory/directory.go", "&& !e.target.Draining && now.Sub(e.removedAt)", "&& now.Sub(e.removedAt)", "./directory"},
	{"di-again", "directory/directory.go", "if !ok || !e.removedAt.IsZero() {", "if !ok {", "./directory"},
	{"fe-horizon", "feed/feed.go", `k.tombstoneHorizon = version
`, "", "./feed"},
	{"fe-old-list", "feed/feed.go", `if version < k.version {
		return nil
	}`, "", "./feed"},
	{"fe-newer", "feed/feed.go", "if ok && have.Version >= o.Version {", "if false && ok && have.Version >= o.Version {", "./feed"},
	{"fe-names", "feed/feed.go", "case delta.Complete && !o.Deleted:", "case false:", "./feed"},
	{"fe-maxver", "feed/feed.go", "max(o.Version, version), nil, nil", "o.Version, nil, nil", "./feed"},
	{"fe-last", "feed/feed.go", "if last[o.Name] != i {", "if i < 0 {", "./feed"},
	{"fe-forget-h", "feed/feed.go", "k.tombstoneHorizon = max(k.tombstoneHorizon, versions[len(versions)/2])", "", "./feed"},
	{"fe-merge-max", "feed/feed.go", "k.version = max(k.version, delta.Version)", "k.version = delta.Version", "./feed"},
	{"ro-prefix", "routing/routing.go", "return len(routes[i].Prefix) > len(routes[j].Prefix)", "return len(routes[i].Prefix) < len(routes[j].Prefix)", "./routing"},
	{"bu-reserve", "budget/budget.go", "usableShare * (b", "1.6 * (b", "./budget"},
	{"bu-hosts", "budget/budget.go", "b.limits.Extra / float64(max(1, hosts))", "b.limits.Extra", "./budget"},
	{"bu-history", "budget/budget.go", "bucketCount = bucketsPerWindow + 1", "bucketCount = bucketsPerWindow", "./budget"},
	{"bu-began", "budget/budget.go", "if now.Sub(b.startedAt) < b.limits.Window {", "if false {", "./budget"},
	{"bu-first", "budget/budget.go", "if !callerRetry {", "if false {", "./budget"},
	{"bu-oldest", "budget/budget.go", "requests -= b.requests[(b.currentBucket+1)%bucketCount]", "", "./budget"},
	{"bu-returning", "edge/attempt.go", "q.service.takeRetry(q.callerRetry)", "q.service.takeRetry(true)", "./edge"},
	{"bu-count", "budget/budget.go", "b.retries[b.currentBucket%bucketCount]++", "", "./budget"},
	{"bu-window", "budget/budget.go", "b.requests[i%bucketCount], b.retries[i%bucketCount] = 0, 0", "", "./budget"},
	{"bu-window2", "budget/budget.go", "b.requests, b.retries = [bucketCount]int{}, [bucketCount]int{}", "", "./budget"},
	{"bu-setlimits", "budget/budget.go", "if l.Window != b.limits.Window {", "if true {", "./budget"},
	{"qu-life", "quarantine/quarantine.go", "e.incarnations[c.Incarnation] = true", "e.incarnations[c.Incarnation+now.String()] = true", "./quarantine"},
	{"qu-answered", "quarantine/quarantine.go", "func (t *Table) RecordResponse(f Fingerprint) { delete(t.entries, f) }", "func (t *Table) RecordResponse(f Fingerprint) {}", "./quarantine"},
	{"qu-memory", "quarantine/quarantine.go", "age >= rejectionPeriod || !e.rejected && age >= crashTTL", "age >= rejectionPeriod", "./quarantine"},
	{"qu-refusal", "quarantine/quarantine.go", "e.rejected && now.Sub(e.updatedAt) < rejectionPeriod", "e.rejected", "./quarantine"},
	{"qu-max", "quarantine/quarantine.go", "if len(t.entries) >= maxEntries {", "if false {", "./quarantine"},
	{"sc-rank", "scheduler/queue.go", "return a.Rank < b.Rank", "return a.Rank > b.Rank", "./scheduler"},
	{"sc-fresh", "scheduler/queue.go", "if inTimeA != inTimeB {", "if inTimeA != inTimeB && false {", "./scheduler"},
	{"sc-late", "scheduler/scheduler.go", "if s.missesDeadline(now, wait, r) {", "if false {", "./scheduler"},
	{"sc-late2", "scheduler/queue.go", "case s.missesDeadline(now, wait, r):", "case false:", "./scheduler"},
	{"sc-quickest", "scheduler/queue.go", "expected = s.expectedProcessingTime(now, r)", "", "./scheduler"},
	{"sc-memory", "scheduler/queue.go", "if now.Sub(a.updatedAt) > responseTimeMaxAge {", "if false {", "./scheduler"},
	{"sc-adopt", "scheduler/choice.go", "case t.probePending:", "case false:", "./scheduler"},
	{"sc-adopt-few", "scheduler/scheduler.go", "s.options.Random() < probingHosts*s.slotShare", "true", "./scheduler"},
	{"sc-margin", "scheduler/queue.go", "* (1 + deadlineMargin))", ")", "./scheduler"},
	{"sc-starved", "scheduler/scheduler.go", "if now.Before(s.classStateOf(r).starvedUntil) && !s.meetsObjective(now.Add(wait), r) {", "if false {", "./scheduler"},
	{"sc-starved2", "scheduler/queue.go", "case now.Before(s.classStateOf(r).starvedUntil) && !s.meetsObjective(now, r):", "case false:", "./scheduler"},
	{"sc-full", "scheduler/scheduler.go", "if len(s.queue) >= maxQueueLength {", "if false {", "./scheduler"},
	{"sc-servable", "scheduler/scheduler.go", "if !s.canServe(now, r) {", "if false {", "./scheduler"},
	{"sc-servable2", "scheduler/queue.go", "case !s.canServe(now, r):", "case false:", "./scheduler"},
	{"sc-spread", "scheduler/queue.go", "(0.75 + 0.5*s.options.Random())", "1.0", "./scheduler"},
	{"sc-retrymax", "scheduler/queue.go", "min(max(wait, minRetryAfter), maxRetryAfter)", "wait", "./scheduler"},
	{"sc-allow", "scheduler/choice.go", "hasCapacity := s.running-s.runningPermitted < s.runningLimit(now)", "hasCapacity := true", "./scheduler"},
	{"sc-permits", "scheduler/ratelimit.go", "return !l.limited || len(l.unexpired(now)) > 0", "return true", "./scheduler"},
	{"sc-wants", "scheduler/scheduler.go", "\t\ts.wantPermits(now, r)\n\t\treturn Rejection{Request: r, Reason: s.unreachableReason(now, r)", "\t\treturn Rejection{Request: r, Reason: s.unreachableReason(now, r)", "./scheduler"},
	{"rl-bucket", "ratelimit/allocator.go", "n := min(w.Count, int(b.tokens))", "n := w.Count", "./ratelimit"},
	{"rl-order", "ratelimit/ratelimit.go", "case !observedAt.After(e.observedAt):", "case false:", "./ratelimit"},
	{"co-limits", "coordination/ratelimits.go", "r.RateLimits = limits", "_ = limits", "./coordination"},
	{"pl-era", "platform/store.go", "return Version(era<<revisionBits | revision&(1<<revisionBits-1))", "return Version(revision)", "./platform"},
	{"pl-era-condition", "platform/objectclient.go", "return !cond.Any && cond.Version > 0 && cond.Version.Era() < c.era.Load()", "return false", "./platform"},
	{"pl-era-update", "platform/objectclient.go", "if !cond.Any && cond.Version > 0 && cond.Version.Era() != era {", "if false {", "./platform"},
	{"pl-era-watch", "platform/objectclient.go", "if after > 0 && era != after.Era() {", "if false {", "./platform"},
	{"pl-era-stale", "platform/objectclient.go", "if pages[0].version.Era() > FirstEra {", "if false {", "./platform"},
	{"di-restored-draining", "directory/directory.go", "next.target.Draining = t.Draining || e.target.Draining", "next.target.Draining = t.Draining", "./directory"},
	{"di-restored-gone", "directory/directory.go", "\t\t\tnext.usableFrom = doubtful", "\t\t\t_ = doubtful", "./directory"},
	{"ed-era", "edge/watch.go", "e.targets.PlatformRestored(time.Now())", "_ = o", "./edge"},
	{"ow-era", "ownership/document.go", "return max(value, (era-1)<<eraBits)", "return value", "./ownership"},
	{"ow-incomplete", "ownership/ownership.go", "if d.Incomplete {", "if false {", "./ownership"},
	{"ow-unknown", "ownership/orders.go", "if now.Before(c.unknownOwnersUntil) {", "if false {", "./ownership"},
	{"co-restored-verify", "coordination/restored.go", "if since == before || now().Sub(l.restoredAt) > verifyGrace && 2*since > before {", "if true {", "./coordination"},
	{"co-restored-known", "coordination/restored.go", "if h.knownTerm > term {", "if false {", "./coordination"},
	{"co-restored-lease", "coordination/restored.go", "if era <= platform.FirstEra || written || !l.holdsLeaseLocked() {", "if era <= platform.FirstEra || written {", "./coordination"},
	{"co-restored-first", "coordination/restored.go", "written := have != nil && have.Era >= era && have.Coordinator != l.process", "written := false", "./coordination"},
	{"co-restored-lower", "coordination/follower.go", "have.Coordinator == d.Coordinator || have.Term < d.Term {", "have.Coordinator == d.Coordinator {", "./coordination"},
	{"co-restored-takeover", "coordination/leader.go", "if era := m.restoredEra(old, version); era > 0 {", "if era := m.restoredEra(old, version); era > 0 && false {", "./coordination"},
	{"ow-limits", "ownership/plan.go", "if perSecond, ok := s.rateLimits[t.Name]; ok {", "if perSecond, ok := s.rateLimits[t.Name]; ok && false {", "./ownership"},
	{"sc-share", "scheduler/choice.go", "math.Ceil(s.slotShare*slots*overcommit)", "math.Ceil(slots*overcommit)", "./scheduler"},
	{"sc-cap", "scheduler/choice.go", "|| t.running >= s.keyedLimit(now, t) {", "{", "./scheduler"},
	{"sc-limit", "scheduler/choice.go", "max(int(t.concurrencyLimit), shared", "max(0, shared", "./scheduler"},
	{"ed-passed-targets", "edge/edge.go", "changed := current != e.passedTargets", "changed := current.table != e.passedTargets.table", "./edge"},
	{"sc-wrong-owner", "scheduler/target.go", "t.consecutiveWrongOwner++", "", "./scheduler"},
	{"sc-free", "scheduler/choice.go", "shared, s.freeSlots(now, t))", "shared)", "./scheduler"},
	{"ow-load-start", "ownership/load.go", "if len(l.rates) == 0 {", "if l.firstReport.IsZero() {", "./ownership"},
	{"sc-tried", "scheduler/choice.go", "case r.wasSentTo(t.Name):", "case false:", "./scheduler"},
	{"sc-remote", "scheduler/choice.go", "if t.DataCentre != s.options.DataCentre {", "if false {", "./scheduler"},
	{"sc-remotebody", "scheduler/choice.go", " + remoteBodyCost*float64(r.Bytes)/bodyCostUnit", "", "./scheduler"},
	{"sc-connect", "scheduler/choice.go", "if !s.options.Connected(t.Name) {", "if false {", "./scheduler"},
	{"sc-rotation", "scheduler/choice.go", "s.rotation++", "", "./scheduler"},
	{"sc-drain", "scheduler/target.go", "if t.Draining || now.Before(t.pausedUntil) {", "if now.Before(t.pausedUntil) {", "./scheduler"},
	{"sc-paused", "scheduler/target.go", "if t.Draining || now.Before(t.pausedUntil) {", "if t.Draining {", "./scheduler"},
	{"sc-trial", "scheduler/target.go", "return t.consecutiveFailures < breakerThreshold || t.running == 0", "return true", "./scheduler"},
	{"sc-usable", "scheduler/target.go", "return !t.Draining && (t.consecutiveFailures < breakerThreshold || !now.Before(t.pausedUntil))", "return !t.Draining", "./scheduler"},
	{"sc-cold", "scheduler/target.go", `	if now.Before(t.warmAt) {
		slots /= coldSlowdown
	}`, "", "./scheduler"},
	{"sc-cold2", "scheduler/target.go", `	if now.Before(t.warmAt) {
		s *= coldSlowdown
	}`, "", "./scheduler"},
	{"sc-err", "scheduler/target.go", " * (1 + errorCost*t.errorRate.value)", "", "./scheduler"},
	{"sc-queuecost", "scheduler/target.go", "* (1 + float64(t.running)/float64(max(1, t.Slots)))", "", "./scheduler"},
	{"sc-born", "scheduler/scheduler.go", "if !ok || !t.StartedAt.Equal(spec.StartedAt) {", "if !ok {", "./scheduler"},
	{"sc-limitfall", "scheduler/target.go", "t.concurrencyLimit = max(1, t.concurrencyLimit*limitDecreaseFactor)", "", "./scheduler"},
	{"sc-limitrise", "scheduler/target.go", "t.concurrencyLimit = min(maxLimit, t.concurrencyLimit+limitIncrement)", "", "./scheduler"},
	{"sc-owner", "scheduler/choice.go", `case r.Keyed:
			t = s.availableOwner(now, r)
`, "", "./scheduler"},
	{"ow-fenced", "ownership/orders.go", "return f.released && f.fenced && !now.Before(f.unansweredUntil)", "return f.released && !now.Before(f.unansweredUntil)", "./ownership"},
	{"ow-unanswered", "ownership/orders.go", "return f.released && f.fenced && !now.Before(f.unansweredUntil)", "return f.released && f.fenced", "./ownership"},
	{"ow-released", "ownership/orders.go", "return f.released && f.fenced && !now.Before(f.unansweredUntil)", "return f.fenced && !now.Before(f.unansweredUntil)", "./ownership"},
	{"ow-mayhold", "ownership/orders.go", "if c.incarnation(f.Incarnation).ended || !now.Before(f.possiblyHeldUntil) {", "if c.incarnation(f.Incarnation).ended || !now.Before(f.possiblyHeldUntil.Add(-2*time.Second)) {", "./ownership"},
	{"ow-vacant", "ownership/orders.go", "|| !c.formersCleared(now, st) {", "{", "./ownership"},
	{"ow-moving", "ownership/orders.go", "st.orderPending || st.moving || st.needsNewFence", "st.orderPending || st.needsNewFence", "./ownership"},
	{"ow-outdated", "ownership/orders.go", `			c.handleStaleGrantResult(now, st, o, result)
`, "", "./ownership"},
	{"ow-outdated-prev", "ownership/orders.go", `			f.released = false
			f.possiblyHeldUntil, f.unansweredUntil = later(f.possiblyHeldUntil, until), later(f.unansweredUntil, until)
`, "", "./ownership"},
	{"ow-outdated-owner", "ownership/orders.go", `		st.possiblyHeldUntil, st.unansweredUntil = later(st.possiblyHeldUntil, until), later(st.unansweredUntil, until)
`, "", "./ownership"},
	{"ow-granted-mayhold", "ownership/orders.go", "st.possiblyHeldUntil, st.staleGrantUntil = c.holdEnd(now), time.Time{}", "st.staleGrantUntil = time.Time{}", "./ownership"},
	{"ow-unans-mayhold", "ownership/orders.go", `st.possiblyHeldUntil = later(st.possiblyHeldUntil, c.holdEnd(now))
		st.unansweredUntil = c.holdEnd(now)`, "", "./ownership"},
	{"ow-unans-unans", "ownership/orders.go", `		st.unansweredUntil = c.holdEnd(now)
`, "", "./ownership"},
	{"ow-lease", "ownership/ownership.go", "st.possiblyHeldUntil = hold.Add(c.options.LeaseTime)", "", "./ownership"},
	{"ow-lease2", "ownership/ownership.go", "f.possiblyHeldUntil = hold.Add(c.options.LeaseTime)", "", "./ownership"},
	{"ow-punans", "ownership/ownership.go", `					f.unansweredUntil = hold
`, "", "./ownership"},
	{"ow-slack", "ownership/ownership.go", "float64(c.options.HoldTime)*(1+maxClockDrift)) + holdMargin", "float64(c.options.HoldTime))", "./ownership"},
	{"ow-es-unans", "ownership/ownership.go", "f.possiblyHeldUntil, f.unansweredUntil = earlier(f.possiblyHeldUntil, hold), later(f.unansweredUntil, hold)", "f.possiblyHeldUntil = earlier(f.possiblyHeldUntil, hold)", "./ownership"},
	{"ow-es-unans2", "ownership/ownership.go", "st.possiblyHeldUntil, st.staleGrantUntil = earlier(st.possiblyHeldUntil, hold), later(st.staleGrantUntil, hold)", "st.possiblyHeldUntil = earlier(st.possiblyHeldUntil, hold)", "./ownership"},
	{"ow-busy-former", "ownership/change.go", `	if st.orderPending {
		until := c.holdEnd(now.Add(GrantTimeout))
		f.possiblyHeldUntil, f.unansweredUntil = later(f.possiblyHeldUntil, until), later(f.unansweredUntil, until)
	}`, "", "./ownership"},
	{"ow-inh-fenced", "ownership/change.go", "st.fenced = sameOwner && fenced && len(old) > 0", "st.fenced = sameOwner && len(old) > 0", "./ownership"},
	{"ow-inh-prev", "ownership/change.go", `if !c.cleared(now, f) {
				st.addFormer`, `if false {
				st.addFormer`, "./ownership"},
	{"ow-inh-mayhold", "ownership/change.go", `		st.possiblyHeldUntil = later(st.possiblyHeldUntil, o.possiblyHeldUntil)
`, "", "./ownership"},
	{"ow-inh-unans", "ownership/change.go", `		st.unansweredUntil = later(st.unansweredUntil, o.unansweredUntil)
`, "", "./ownership"},
	{"ow-inh-sound", "ownership/change.go", `	if !sameOwner {
		st.surelyHeldUntil = time.Time{}
	}
`, "", "./ownership"},
	{"ow-prop-fence", "ownership/propose.go", "r.Owner, r.Fence = to, d.Fence", "r.Owner = to", "./ownership"},
	{"ow-prop-former", "ownership/propose.go", `				r.FormerOwners = appendFormer(r.FormerOwners, FormerOwner{
					Incarnation: st.Owner, Fenced: st.fenced, Unanswered: st.orderPending || now.Before(later(st.unansweredUntil, st.staleGrantUntil)),
				})
`, "", "./ownership"},
	{"ow-prop-unans", "ownership/propose.go", "Unanswered: st.orderPending || now.Before(later(st.unansweredUntil, st.staleGrantUntil))", "Unanswered: now.Before(later(st.unansweredUntil, st.staleGrantUntil))", "./ownership"},
	{"ow-prop-fencedtrue", "ownership/propose.go", "Incarnation: st.Owner, Fenced: st.fenced,", "Incarnation: st.Owner, Fenced: true,", "./ownership"},
	{"ow-prop-uncl", "ownership/propose.go", `r.FormerOwners = c.unclearedFormers(now, st)
`, "", "./ownership"},
	{"ow-takeover-settled", "ownership/ownership.go", `d.OwnersFenced = false
`, "", "./ownership"},
	{"ow-takeover-fence", "ownership/ownership.go", `	d.Fence++
	for _, ranges`, "	for _, ranges", "./ownership"},
	{"ow-evac", "ownership/plan.go", " || (st.orderPending || !st.fenced) && !c.unavailable(now, st.Owner) {", " {", "./ownership"},
	{"ow-merge", "ownership/propose.go", "i >= 0 && len(r.FormerOwners) == 0 && !s.ranges[i].orderPending", "i >= 0 && !s.ranges[i].orderPending", "./ownership"},
	{"ow-merge-busy", "ownership/propose.go", "&& !s.ranges[i].orderPending && !s.ranges[i].moving && s.ranges[i].granted", "&& !s.ranges[i].moving && s.ranges[i].granted", "./ownership"},
	{"ow-bury", "ownership/ownership.go", "byName[i.Name].StartedAt.After(i.StartedAt) || byAddress", "true || byAddress", "./ownership"},
	{"ow-silent", "ownership/plan.go", "len(eligible) == 0 || c.mostUnresponsive(now, s)", "len(eligible) == 0", "./ownership"},
	{"ow-view-dead", "ownership/view.go", "st.granted && !c.incarnation(st.Owner).ended", "st.granted", "./ownership"},
	{"ow-scale", "ownership/load.go", "return 1 / (1 - math.Exp(-age.Seconds()/loadTimeConstant.Seconds()))", "return 1 + 0*age.Seconds()", "./ownership"},
	{"ow-outdated-cleared", "ownership/orders.go", "st.possiblyHeldUntil, st.staleGrantUntil = c.holdEnd(now), time.Time{}", "st.possiblyHeldUntil = c.holdEnd(now)", "./ownership"},
	{"ow-outdated-former", "ownership/change.go", "unansweredUntil: later(st.unansweredUntil, st.staleGrantUntil)}", "unansweredUntil: st.unansweredUntil}", "./ownership"},
	{"ow-outdated-inherit", "ownership/change.go", "		st.staleGrantUntil = later(st.staleGrantUntil, o.staleGrantUntil)\n", "", "./ownership"},
	{"co-watch-count", "coordination/leader.go", "extraWatchers    = 4", "extraWatchers    = 2", "./coordination"},
	{"co-watch-small", "coordination/reports.go", "name == l.process || h.lowPriority != lowPriority ||", "name == l.process || lowPriority ||", "./coordination"},
	{"ow-settle-newest", "ownership/plan.go", "now.Sub(newest) < settleTime && now.Sub(oldest) < wait", "now.Sub(newest) < settleTime && now.Sub(oldest) < min(wait, settleTime)", "./ownership"},
	{"ow-settle-requests", "ownership/plan.go", "if len(s.load.rates) > 0 {", "if false {", "./ownership"},
	{"ow-rejoin", "ownership/ownership.go", "c.incarnation(IncarnationOf(t)).unansweredSince = time.Time{}", "", "./ownership"},
	{"ow-trial", "ownership/plan.go", "unresponsive && now.Sub(v.lastUnanswered) < targetRetryDelay", "unresponsive", "./ownership"},
	{"ow-trial-rare", "ownership/plan.go", "unresponsive && now.Sub(v.lastUnanswered) < targetRetryDelay", "unresponsive && now.Sub(v.lastUnanswered) < 0", "./ownership"},
	{"ow-settle-time", "ownership/plan.go", "if now.Sub(newest) < settleTime && now.Sub(oldest) < wait {", "if now.Sub(newest) < 0 && now.Sub(oldest) < wait {", "./ownership"},
	{"co-lease", "coordination/leader.go", "!l.ended && now().Before(l.confirmedAt.Add(LeaseTime))", "!l.ended", "./coordination"},
	{"co-ended", "coordination/leader.go", "!l.ended && now().Before(l.confirmedAt.Add(LeaseTime))", "now().Before(l.confirmedAt.Add(LeaseTime))", "./coordination"},
	{"co-yields", "coordination/leader.go", "if term < m.yieldTerm {", "if false {", "./coordination"},
	{"co-settled", "coordination/leader.go", "if old.OwnersFenced {", "if true {", "./coordination"},
	{"co-resigned", "coordination/leader.go", `old.OwnersFenced && (old.Coordinator == "" || old.Address == own)`, `(old.Coordinator == "" || old.Address == own)`, "./coordination"},
	{"co-resigned2", "coordination/leader.go", "old.OwnersFenced && (", "old.OwnersFenced && (true || ", "./coordination"},
	{"co-yieldterm", "coordination/leader.go", "if l.core.Document().Term < term {", "if true {", "./coordination"},
	{"co-stop", "coordination/leader.go", `	if l.cancel != nil {
		l.cancel()
	}
`, "", "./coordination"},
	{"co-aside", "coordination/document.go", `	m.suspendCandidacy(resignedPeriod)
`, "", "./coordination"},
	{"co-aside2", "coordination/leader.go", `		l.member.suspendCandidacy(isolationBackoff)
`, "", "./coordination"},
	{"co-isolated", "coordination/leader.go", "if l.core.Isolated(t) {", "if false {", "./coordination"},
	{"co-batch", "coordination/orders.go", `if result == ownership.OrderUnanswered {
			result = ownership.OrderNotSent
		}`, "", "./coordination"},
	{"co-batch-lease", "coordination/orders.go", "if result != ownership.OrderNotSent && l.leaseOutlastsOrder() {", "if result != ownership.OrderNotSent {", "./coordination"},
	{"co-resign-store", "coordination/document.go", "!l.hasEnded() && !m.storeAnswers(ctx)", "!l.hasEnded() && false", "./coordination"},
	{"co-handover", "coordination/leader.go", "if l.shouldHandOver(t) {", "if false {", "./coordination"},
	{"fe-unconfirmed", "feed/feed.go", "if from >= k.version || k.unconfirmed {", "if from >= k.version {", "./feed"},
	{"fe-confirm", "feed/feed.go", "k.unconfirmed && version <= k.version", "k.unconfirmed && version >= 0", "./feed"},
	{"co-order-age", "coordination/orders.go", "LeaseTime-platform.UnackedTimeout", "LeaseTime", "./coordination"},
	{"pl-linger", "platform/dial.go", "Linger{Onoff: 1, Linger: 0}", "Linger{}", "./platform"},
	{"co-away", "coordination/reports.go", "if h := l.hosts[name]; name != l.process && h.watching && !h.storeUnreachable {", "if h := l.hosts[name]; h == nil {", "./coordination"},
	{"co-away2", "coordination/reports.go", `if !l.member.options.StoreUnreachable() {
		return false
	}`, "", "./coordination"},
	{"co-watch-lost", "coordination/reports.go", " || h.storeUnreachable && name != process {", " {", "./coordination"},
	{"co-leasedreply", "coordination/reports.go", `if !l.holdsLeaseLocked() {
		return nil, ErrNotCoordinator
	}`, "", "./coordination"},
	{"co-confirm-other", "coordination/document.go", "return d != nil && d.Coordinator == l.process && version.Era()", "return d != nil && version.Era()", "./coordination"},
	{"co-settle", "coordination/document.go", "have.Coordinator == l.process && have.Term == d.Term && have.Fence == d.Fence && have.Era == d.Era", "have != nil", "./coordination"},
	{"co-conflict", "coordination/document.go", `if isConflict(err) {
			obj, err = l.resolveConflict(ctx, d)`, `if eris.Is(err, platform.ErrConflict) && false {
			obj, err = l.resolveConflict(ctx, d)`, "./coordination"},
	{"co-if", "coordination/document.go", "value, platform.IfVersion(version))", "value, func(platform.Version) platform.Condition { return platform.Unconditional() }(version))", "./coordination"},
	{"co-proposed", "coordination/document.go", "if proposed || d == nil {", "if d == nil || proposed && false {", "./coordination"},
	{"co-first", "coordination/follower.go", `wait = 0
`, "", "./coordination"},
	{"co-news", "coordination/coordination.go", `			l.reportNow(ctx)
`, "", "./coordination"},
	{"co-newsrep", "coordination/coordination.go", "} else if _, err := m.sendReport(ctx, coordinator, 0, syncMargin); err != nil {", "} else if err := error(nil); err != nil {", "./coordination"},
	{"co-fencedmap", "coordination/orders.go", `return ownership.OrderFenced, ""`, `return ownership.OrderUnanswered, ""`, "./coordination"},
	{"co-othermap", "coordination/orders.go", `return ownership.OrderTargetReplaced, ""`, `return ownership.OrderUnanswered, ""`, "./coordination"},
	{"co-unsentmap", "coordination/orders.go", `return ownership.OrderNotSent, ""`, `return ownership.OrderUnanswered, ""`, "./coordination"},
	{"po-udp", "internal/ports/ports.go", `held, err := net.ListenPacket("udp4", address)`, `held, err := net.ListenPacket("udp4", "127.0.0.1:0")`, "./internal/ports"},
	{"gr-settle", "grant/acks.go", "if s.pendingRound == 0 || a.Round < s.pendingRound {", "if s.pendingRound == 0 {", "./grant"},
	{"dp-limit", "dispatch/core.go", "t.limit = min(t.limit, spec.Slots)", "t.limit = spec.Slots", "./dispatch"},
	{"ow-prop-settled", "ownership/propose.go", "d.OwnersFenced = d.OwnersFenced || !d.Incomplete && c.allFenced()", "d.OwnersFenced = true", "./ownership"},
	{"ow-settled-stays", "ownership/propose.go", "d.OwnersFenced = d.OwnersFenced || !d.Incomplete && c.allFenced()", "d.OwnersFenced = c.allFenced()", "./ownership"},
	{"ow-stuck", "ownership/balance.go", "from.exhausted = true\n\t\t\tcontinue", "return moves", "./ownership"},
	{"ow-fullest", "ownership/balance.go", "case p.rate > highest.rate:", "case false:", "./ownership"},
	{"ow-min-shift", "ownership/balance.go", ">= minMoveUtilisation", ">= 0", "./ownership"},
	{"ow-patch-gone", "ownership/view.go", "return after, after.Target != \"\"", "return after, true", "./ownership"},
	{"co-older", "coordination/views.go", "next == nil || !next.Version.After(v.Version)", "next == nil", "./coordination"},
	{"co-since", "coordination/views.go", "if *next.BaseVersion != v.Version {", "if false {", "./coordination"},
	{"co-empty-view", "coordination/views.go", "len(changes) == 0 && len(refused) == len(v.newest.RejectedFingerprints)", "false", "./coordination"},
	{"co-interval", "coordination/reports.go", "wait > 0 {", "wait > time.Hour {", "./coordination"},
	{"co-publish-later", "coordination/reports.go", "\t\tl.publishLater(wait)\n", "", "./coordination"},
	{"co-expected", "coordination/reports.go", "n = max(n, l.expectedHosts)", "n = max(n, 0)", "./coordination"},
	{"co-yield-asked", "coordination/leader.go", "if old == nil || old.Coordinator == \"\" {", "if old == nil || old.Coordinator == \"\" || !old.OwnersFenced {", "./coordination"},
	{"ed-knowledge", "edge/handler.go", "\tq.awaitInitialState()\n", "", "./edge"},
	{"ed-lag-version", "edge/watch.go", "objects, from, err = store.List(ctx, kind)", "objects, from, err = store.List(ctx, kind)\n\t\t\tfrom = 1", "./edge"},
}
