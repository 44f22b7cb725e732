// Decides whether and how long a request may wait for its model to be loaded.
//
// Load pattern: models are requested faster than engines can load them, or nothing is loaded for some seconds after a
// change of the leader that issues orders, or many models have no copy on any engine's host, and the weight store can
// deliver only few of them before their callers disconnect. Callers of streams don't wait until their deadline but
// disconnect if nothing arrives for a while, and an abandoned request can't be given a retry delay. The wait therefore
// ends while the answer can still be delivered.
#pragma once

#include "state/routes.h"

#include <optional>

namespace roserail
{

// Returns how long after its arrival a request may wait at a host that has just started and has no configuration yet.
// `timeout`: how long the caller waits, if it states that.
Millis configurationWait(std::optional<Millis> timeout);

// Returns how long after its arrival a request may wait for its model. `timeout`: from its arrival to its deadline.
Millis coldWait(const Route &route, Millis timeout);

// The decision on a request for a model that no engine holds.
struct ColdAdmission {
    Time until{}; // end of the wait
    std::optional<Millis> retryDelay; // set if the request is refused at once: when to retry
};

// Where a model that no engine holds can be loaded from.
struct ColdModel {
    bool copyExists = false; // on an engine's host, in memory or on disk
    std::optional<Time> loadedAt; // expected end of a load from the weight store that is in progress
};

// Refuses a request at once if its model would be loaded too late for its caller: nothing may be loaded before
// `ordersAllowedAt`, or the model must come from the weight store. `jitter`, from 0 to 1, spreads the retries of refused
// requests over time.
ColdAdmission admitColdRequest(const Route &route, const ModelSpec &model, const ColdModel &place, Time arrived, Time deadline,
                               Time ordersAllowedAt, double jitter, Time now);

} // namespace roserail
