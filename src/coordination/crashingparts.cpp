#include "coordination/crashingparts.h"

#include "state/tunables.h"

#include <algorithm>
#include <xxhash.h>

namespace roserail
{

using namespace tunables;

namespace
{

constexpr size_t MaxCrashes = 16; // in the reports of one router, which are sent with every poll; the newest are kept
constexpr size_t MaxPartsPerCrash = 32; // half of an engine's batch
constexpr size_t MaxSoundReports = 64; // of one router
constexpr size_t SoundReportersAtOnce = 16; // routers that report a sound part as soon as it is suspected elsewhere
constexpr Millis SoundReportStep{10}; // between the other routers, of which some 30 have begun when the first report has reached all
constexpr size_t MaxSoundParts = 10000; // in each of the two sets, some 40 bytes each
// An endpoint crashes when it begins to answer. A request that has brought as many events is not the cause.
constexpr uint64_t EventsOfASoundRequest = 8;

} // namespace

bool CrashingParts::isSound(PromptPartId part) const
{
    return m_sound.count(part.value()) != 0 || m_soundBefore.count(part.value()) != 0;
}

void CrashingParts::rememberSound(PromptPartId part)
{
    if (m_sound.size() >= MaxSoundParts) {
        m_soundBefore = std::move(m_sound);
        m_sound.clear();
    }
    m_sound.insert(part.value());
}

// A part that many routers know to be sound is reported by a few of them at once, and by the others in turn as long as it is suspected.
Time CrashingParts::reportSoundAt(PromptPartId part, Time now) const
{
    const uint64_t position = XXH3_64bits_withSeed(m_self.data(), m_self.size(), part.value()) % std::max<size_t>(1, m_routers);
    return position < SoundReportersAtOnce ? now : now + int64_t(position - SoundReportersAtOnce) * SoundReportStep;
}

void CrashingParts::updateSoundReports(Time now)
{
    std::set<PromptPartId> suspected;
    for (const std::pair<const EndpointIncarnation, Crash> &it : m_otherReports)
        std::copy_if(it.second.parts.begin(), it.second.parts.end(), std::inserter(suspected, suspected.end()),
                     [this](PromptPartId part) { return isSound(part); });
    std::erase_if(m_soundReports, [&](const std::pair<const PromptPartId, Time> &it) {
        return suspected.count(it.first) == 0 || (now < it.second && m_reportedSound.count(it.first) != 0);
    });
    for (const PromptPartId it : suspected) {
        if (m_soundReports.size() < MaxSoundReports && m_reportedSound.count(it) == 0)
            m_soundReports.emplace(it, reportSoundAt(it, now));
    }
}

void CrashingParts::recordCrash(const std::vector<PromptPartId> &parts, uint64_t events, const std::string &endpoint, uint64_t startedAtMs,
                                Time now)
{
    std::set<PromptPartId> suspects;
    if (events < EventsOfASoundRequest)
        std::copy_if(parts.begin(), parts.end(), std::inserter(suspects, suspects.end()), [this](PromptPartId it) { return !isSound(it); });
    if (suspects.empty())
        return;
    addOwn(EndpointIncarnation(endpoint, startedAtMs), suspects, now);
    evaluate();
}

void CrashingParts::addOwn(const EndpointIncarnation &incarnation, const std::set<PromptPartId> &parts, Time at)
{
    auto report = std::find_if(m_ownReports.begin(), m_ownReports.end(), [&](const Crash &it) { return it.incarnation == incarnation; });
    if (report == m_ownReports.end()) {
        m_ownReports.push_back(Crash{incarnation, {}, at});
        if (m_ownReports.size() > MaxCrashes)
            m_ownReports.pop_front();
        report = std::prev(m_ownReports.end());
    }
    for (const PromptPartId it : parts) {
        if (report->parts.size() < MaxPartsPerCrash)
            report->parts.insert(it);
    }
}

void CrashingParts::recordAnswer(const std::vector<PromptPartId> &parts, Time now)
{
    std::vector<PromptPartId> added;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(added), [this](PromptPartId it) { return m_sound.count(it.value()) == 0; });
    if (added.empty())
        return;
    const Evidence suspected = evidence();
    for (const PromptPartId it : added)
        rememberSound(it);
    if (std::none_of(added.begin(), added.end(), [&](PromptPartId it) { return suspected.count(it) != 0; }))
        return;
    updateSoundReports(now);
    dropSoundParts();
    evaluate();
}

void CrashingParts::dropSoundParts()
{
    for (Crash &it : m_ownReports)
        std::erase_if(it.parts, [this](PromptPartId part) { return isSound(part); });
    std::erase_if(m_ownReports, [](const Crash &it) { return it.parts.empty(); });
}

void CrashingParts::update(const Registry &registry, const std::string &self, Time now)
{
    m_otherReports.clear();
    m_reportedSound.clear();
    m_self = self;
    m_routers = registry.routers().size();
    for (const std::pair<const std::string, LiveRouter> &it : registry.routers()) {
        if (it.first == self)
            continue;
        for (const pb::PartCrash &crash : it.second.state.part_crashes())
            addOther(crash, it.second.lastSeenAt);
        for (const uint64_t part : it.second.state.sound_parts()) {
            m_reportedSound.emplace(part);
            if (!isSound(PromptPartId(part)))
                rememberSound(PromptPartId(part));
        }
    }
    dropSoundParts();
    expire(now);
    updateSoundReports(now);
    evaluate();
    adoptReports();
}

void CrashingParts::addOther(const pb::PartCrash &report, Time sentAt)
{
    const EndpointIncarnation incarnation(report.endpoint(), report.born_ms());
    Crash &crash = m_otherReports.emplace(incarnation, Crash{incarnation, {}, sentAt - Millis(report.age_ms())}).first->second;
    for (const uint64_t part : report.parts())
        crash.parts.emplace(part);
}

void CrashingParts::adoptReports()
{
    for (const std::pair<const EndpointIncarnation, Crash> &it : m_otherReports) {
        std::set<PromptPartId> parts;
        std::set_intersection(it.second.parts.begin(), it.second.parts.end(), m_refused.begin(), m_refused.end(),
                              std::inserter(parts, parts.end()));
        if (!parts.empty())
            addOwn(it.first, parts, it.second.at);
    }
}

void CrashingParts::expire(Time now)
{
    const auto expired = [now](Time at) {
        return now >= at + QuarantineDuration;
    };
    std::erase_if(m_ownReports, [&](const Crash &it) { return expired(it.at); });
    std::erase_if(m_otherReports, [&](const std::pair<const EndpointIncarnation, Crash> &it) { return expired(it.second.at); });
}

CrashingParts::Evidence CrashingParts::evidence() const
{
    Evidence result;
    const auto add = [&](const Crash &crash) {
        for (const PromptPartId part : crash.parts) {
            if (!isSound(part))
                result[part].insert(crash.incarnation);
        }
    };
    for (const std::pair<const EndpointIncarnation, Crash> &it : m_otherReports)
        add(it.second);
    std::for_each(m_ownReports.begin(), m_ownReports.end(), add);
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
    for (const Crash &it : m_ownReports) {
        pb::PartCrash &crash = *state.add_part_crashes();
        crash.set_endpoint(it.incarnation.first);
        crash.set_born_ms(it.incarnation.second);
        crash.set_age_ms(uint64_t(std::max<int64_t>(0, (now - it.at).count())));
        for (const PromptPartId part : it.parts)
            crash.add_parts(part.value());
    }
    for (const std::pair<const PromptPartId, Time> &it : m_soundReports) {
        if (now >= it.second)
            state.add_sound_parts(it.first.value());
    }
}

} // namespace roserail
