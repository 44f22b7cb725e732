#include "coordination/replybudget.h"

#include <algorithm>

namespace roserail
{

void ReplyBudget::record(size_t bytes, Time now)
{
    m_sentAt = std::max(m_sentAt, now) + Millis(int64_t(double(bytes) / m_bytesPerMs));
}

} // namespace roserail
