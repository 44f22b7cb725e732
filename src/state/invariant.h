// Checks of invariants, which are active in every build.
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

// Throws if the condition is false. Only tests catch the exception, so a process stops before it acts on wrong state.
inline void invariant(bool holds, const char *what)
{
    if (!holds)
        throw InvariantViolation(std::string("invariant violated: ") + what);
}

} // namespace roserail
