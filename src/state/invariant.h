// Checks of what must always hold, in every build.
#pragma once

#include <stdexcept>
#include <string>

namespace roserail
{

class InvariantViolation : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

// Stops the process (no one catches it outside tests): wrong state must not be acted on.
inline void invariant(bool holds, const char *what)
{
    if (!holds)
        throw InvariantViolation(std::string("invariant violated: ") + what);
}

} // namespace roserail
