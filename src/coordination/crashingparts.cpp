#include "coordination/crashingparts.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr size_t MaxCrashes = 16; // in the reports of one router, which are sent with every poll; the newest are kept
constexpr size_t MaxPartsPerCrash = 32; // half of an engine's batch
constexpr size_t MaxSoundReports = 64; // of one router
constexpr size_t MaxSoundParts = 10000; // in each of the two sets, some 40 bytes each
// An endpoint crashes when it begins to answer. A request that has brought as many events is not the cause.
constexpr uint64_t EventsOfASoundRequest = 8;

} // namespace

bool CrashingParts::answeredHere(PromptPartId part) const
{
    return m_sound.count(part.value()) != 0 || m_soundBefore.count(part.value()) != 0;
}

bool CrashingParts::isSound(PromptPartId part) const
{
    return answeredHere(part) || m_soundElsewhere.count(part) != 0;
}

void CrashingParts::rememberSound(PromptPartId part)
{
    if (m_sound.size() >= MaxSoundParts) {
        m_soundBefore = std::move(m_sound);
        m_sound.clear();
    }
    m_sound.insert(part.value());
}

void CrashingParts::reportSound(PromptPartId part, Time now)
{
    std::erase_if(m_soundReports, [part](const std::pair<PromptPartId, Time> &it) { return it.first == part; });
    m_soundReports.emplace_back(part, now + QuarantineDuration);
    if (m_soundReports.size() > MaxSoundReports)
        m_soundReports.pop_front();
}

void CrashingParts::recordCrash(const std::vector<PromptPartId> &parts, uint64_t events, const std::string &endpoint, uint64_t startedAtMs,
                                Time now)
{
    std::set<PromptPartId> suspects;
    if (events < EventsOfASoundRequest)
        std::copy_if(parts.begin(), parts.end(), std::inserter(suspects, suspects.end()), [this](PromptPartId it) { return !isSound(it); });
    if (suspects.empty())
        return;
    const EndpointIncarnation incarnation(endpoint, startedAtMs);
    auto report
        = std::find_if(m_ownReports.begin(), m_ownReports.end(), [&](const OwnReport &it) { return it.incarnation == incarnation; });
    if (report == m_ownReports.end()) {
        m_ownReports.push_back(OwnReport{incarnation, {}, now + QuarantineDuration});
        if (m_ownReports.size() > MaxCrashes)
            m_ownReports.pop_front();
        report = std::prev(m_ownReports.end());
    }
    for (const PromptPartId it : suspects) {
        if (report->parts.size() < MaxPartsPerCrash)
            report->parts.insert(it);
    }
    evaluate();
}

void CrashingParts::recordAnswer(const std::vector<PromptPartId> &parts, Time now)
{
    bool suspected = false;
    for (const PromptPartId part : parts) {
        if (m_sound.count(part.value()) != 0)
            continue;
        rememberSound(part);
        if (m_otherReports.count(part) != 0)
            reportSound(part, now);
        for (OwnReport &it : m_ownReports)
            suspected = it.parts.erase(part) != 0 || suspected;
        suspected = suspected || m_otherReports.count(part) != 0;
    }
    std::erase_if(m_ownReports, [](const OwnReport &it) { return it.parts.empty(); });
    if (suspected)
        evaluate();
}

void CrashingParts::update(const Registry &registry, const std::string &self, Time now)
{
    m_otherReports.clear();
    m_soundElsewhere.clear();
    for (const std::pair<const std::string, LiveRouter> &it : registry.routers()) {
        if (it.first == self)
            continue;
        for (const pb::PartCrash &crash : it.second.state.part_crashes()) {
            for (const uint64_t part : crash.parts())
                m_otherReports[PromptPartId(part)].emplace(crash.endpoint(), crash.born_ms());
        }
        for (const uint64_t part : it.second.state.sound_parts())
            m_soundElsewhere.emplace(part);
    }
    const auto reported = [this](PromptPartId part) {
        return std::any_of(m_soundReports.begin(), m_soundReports.end(),
                           [part](const std::pair<PromptPartId, Time> &it) { return it.first == part; });
    };
    for (const std::pair<const PromptPartId, std::set<EndpointIncarnation>> &it : m_otherReports) {
        if (answeredHere(it.first) && !reported(it.first))
            reportSound(it.first, now);
    }
    expire(now);
    evaluate();
}

void CrashingParts::expire(Time now)
{
    std::erase_if(m_ownReports, [now](const OwnReport &it) { return now >= it.until; });
    std::erase_if(m_soundReports, [now](const std::pair<PromptPartId, Time> &it) { return now >= it.second; });
}

CrashingParts::Evidence CrashingParts::evidence() const
{
    Evidence result = m_otherReports;
    for (const OwnReport &report : m_ownReports) {
        for (const PromptPartId part : report.parts)
            result[part].insert(report.incarnation);
    }
    std::erase_if(result, [this](const Evidence::value_type &it) { return isSound(it.first); });
    return result;
}

size_t CrashingParts::crashCount(PromptPartId part) const
{
    const Evidence all = evidence();
    const auto it = all.find(part);
    return it == all.end() ? 0 : it->second.size();
}

// Takes the parts that most crashes have in common, and then considers only the crashes that these do not explain. A sound
// part is in many crashes if requests with it are frequent, but hardly in as many as the cause.
void CrashingParts::evaluate()
{
    m_refused.clear();
    Evidence unexplained = evidence();
    while (!unexplained.empty()) {
        const size_t most
            = std::max_element(unexplained.begin(), unexplained.end(), [](const Evidence::value_type &a, const Evidence::value_type &b) {
                  return a.second.size() < b.second.size();
              })->second.size();
        if (most < RefusalCrashThreshold)
            return;
        std::set<EndpointIncarnation> explained;
        for (const Evidence::value_type &it : unexplained) {
            if (it.second.size() != most)
                continue;
            m_refused.insert(it.first);
            explained.insert(it.second.begin(), it.second.end());
        }
        for (Evidence::value_type &it : unexplained)
            std::erase_if(it.second, [&](const EndpointIncarnation &incarnation) { return explained.count(incarnation) != 0; });
    }
}

bool CrashingParts::shouldRefuse(const std::vector<PromptPartId> &parts) const
{
    return std::any_of(parts.begin(), parts.end(), [this](PromptPartId it) { return m_refused.count(it) != 0; });
}

void CrashingParts::addReports(pb::RouterState &state, Time now)
{
    expire(now);
    for (const OwnReport &it : m_ownReports) {
        pb::PartCrash &crash = *state.add_part_crashes();
        crash.set_endpoint(it.incarnation.first);
        crash.set_born_ms(it.incarnation.second);
        for (const PromptPartId part : it.parts)
            crash.add_parts(part.value());
    }
    for (const std::pair<PromptPartId, Time> &it : m_soundReports)
        state.add_sound_parts(it.first.value());
}

} // namespace roserail
