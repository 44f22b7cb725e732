// Whether and how long a request may wait for its model.
//
// Load pattern: models are asked for faster than engines can load them, or nothing is loaded for some seconds after a
// change of the holder of orders. Callers of streams don't wait until their deadline: they leave when nothing came for
// a while, and a request that was left can't be told to come back. So the wait ends while an answer is still possible.
#pragma once

#include "state/routes.h"

#include <optional>

namespace roserail
{

// How long, counted from its arrival, a request may wait at a host that has just started and knows no configuration yet.
Millis configurationWait(std::optional<Millis> timeout);

// `patience`: the time until the request's deadline, counted from its arrival, as is the result.
Millis coldWait(const Route &route, Millis timeout);

// What becomes of a request for a model that no engine holds.
struct ColdAdmission {
    Time until{}; // it may wait
    std::optional<Millis> retryDelay; // it can't be served: refused at once, and told when it can be
};

// While nothing may be loaded before `ordersAllowedAt`, a request whose caller would have left by then is refused at once.
// `spread`, from 0 to 1, keeps the refused from coming back all at the same moment.
ColdAdmission admitColdRequest(const Route &route, const ModelSpec &model, Time arrived, Time deadline, Time ordersAllowedAt, double jitter,
                               Time now);

} // namespace roserail
