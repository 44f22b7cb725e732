// How long a request may wait for its model.
//
// Load pattern: models are asked for faster than engines can load them, or nothing is loaded for some seconds after a
// change of the holder of orders. Callers of streams don't wait until their deadline: they leave when nothing came for
// a while, and a request that was left can't be told to come back. So the wait ends while an answer is still possible.
#pragma once

#include "state/routes.h"

namespace roserail
{

// `patience`: the time until the request's deadline, counted from its arrival, as is the result.
Millis coldWait(const Route &route, Millis patience);

} // namespace roserail
