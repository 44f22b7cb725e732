#include "state/claims.h"

#include "state/invariant.h"
#include "state/tunables.h"

namespace roserail
{

using namespace tunables;

namespace
{

pb::CommandResult verdict(pb::Verdict value, const char *message)
{
    pb::CommandResult result;
    result.set_verdict(value);
    result.set_message(message);
    return result;
}

WallTime keyTime(uint64_t ms)
{
    return WallTime(Millis(int64_t(ms)));
}

pb::CommandResult resultOf(const pb::Claim &claim)
{
    const bool running = claim.outcome() == pb::CLAIM_RUNNING;
    pb::CommandResult result = verdict(running ? pb::VERDICT_RUNNING : pb::VERDICT_STORED, "");
    result.set_outcome(claim.outcome());
    result.set_attempt(claim.attempt());
    result.set_router(claim.router());
    *result.mutable_answer() = claim.answer();
    return result;
}

} // namespace

pb::CommandResult Claims::start(const pb::StartClaim &command, WallTime now)
{
    if (keyTime(command.key_time_ms()) + IdempotencyKeyMaxAge < now)
        return verdict(pb::VERDICT_KEY_EXPIRED,
                       "the idempotency key is older than 24 h; check whether the action ran before sending it with a new key");
    if (keyTime(command.key_time_ms()) > now + IdempotencyKeyMaxSkew)
        return verdict(pb::VERDICT_KEY_EXPIRED, "the idempotency key is dated in the future; correct the clock and create a new key");
    const ClaimKey key{CallerId(command.caller()), command.key()};
    const auto it = m_claims.find(key);
    if (it != m_claims.end()) {
        pb::Claim &claim = it->second;
        if (claim.payload_hash() != command.payload_hash())
            return verdict(pb::VERDICT_KEY_MISMATCH,
                           "the idempotency key was already used with another payload; use a new key for a new action");
        const bool sameAttempt = claim.attempt() == command.attempt();
        if (claim.outcome() == pb::CLAIM_RUNNING && sameAttempt)
            return verdict(pb::VERDICT_OK, "");
        if (claim.outcome() != pb::CLAIM_NOT_RUN || sameAttempt)
            return resultOf(claim);
        claim.set_attempt(command.attempt());
        claim.set_router(command.router());
        claim.set_outcome(pb::CLAIM_RUNNING);
        return verdict(pb::VERDICT_OK, "");
    }
    pb::Claim claim;
    claim.set_caller(command.caller());
    claim.set_key(command.key());
    claim.set_payload_hash(command.payload_hash());
    claim.set_key_time_ms(command.key_time_ms());
    claim.set_attempt(command.attempt());
    claim.set_router(command.router());
    m_byKeyTime.insert(Expiry{command.key_time_ms(), key});
    m_claims.emplace(key, std::move(claim));
    return verdict(pb::VERDICT_OK, "");
}

pb::CommandResult Claims::finish(const pb::FinishClaim &command)
{
    const auto it = m_claims.find(ClaimKey{CallerId(command.caller()), command.key()});
    if (it == m_claims.end() || it->second.attempt() != command.attempt())
        return verdict(pb::VERDICT_STALE, "the claim does not exist or belongs to another attempt");
    pb::Claim &claim = it->second;
    const bool open = claim.outcome() == pb::CLAIM_RUNNING || claim.outcome() == pb::CLAIM_UNKNOWN;
    if (!open || command.outcome() == pb::CLAIM_RUNNING)
        return resultOf(claim);
    // "Unknown" never becomes "not run": the caller may already have received the unknown outcome.
    invariant(claim.outcome() != pb::CLAIM_COMPLETED, "a completed claim never changes");
    if (claim.outcome() == pb::CLAIM_UNKNOWN && command.outcome() == pb::CLAIM_NOT_RUN)
        return resultOf(claim);
    claim.set_outcome(command.outcome());
    *claim.mutable_answer() = command.answer();
    if (claim.answer().body().size() > MaxStoredAnswerBytes) {
        claim.mutable_answer()->clear_body();
        claim.mutable_answer()->set_body_dropped(true);
    }
    return verdict(pb::VERDICT_OK, "");
}

void Claims::expire(WallTime now)
{
    while (!m_byKeyTime.empty() && keyTime(m_byKeyTime.begin()->keyTimeMs) + IdempotencyKeyMaxAge < now) {
        m_claims.erase(m_byKeyTime.begin()->key);
        m_byKeyTime.erase(m_byKeyTime.begin());
    }
}

void Claims::save(pb::MachineState &out) const
{
    for (const std::pair<const ClaimKey, pb::Claim> &it : m_claims)
        *out.add_claims() = it.second;
}

void Claims::restore(const pb::MachineState &in)
{
    *this = Claims();
    for (const pb::Claim &it : in.claims()) {
        const ClaimKey key{CallerId(it.caller()), it.key()};
        m_byKeyTime.insert(Expiry{it.key_time_ms(), key});
        m_claims.emplace(key, it);
    }
}

} // namespace roserail
