// Finds the part of prompts that crashes endpoints, over all routers.
//
// Load pattern: a part of the prompt crashes every endpoint that begins to answer a request with it. No two of these requests
// are alike, they reach any router, and they share their other parts with sound requests, of which an endpoint that crashes
// interrupts dozens. A part is refused after RefusalCrashThreshold crashes of different endpoint processes that no other part
// explains better. A part with which a request was answered is not the cause, and routers tell each other of such parts. They
// also repeat each other's reports of refused parts, so that these outlive the router that saw the crash.
#pragma once

#include "coordination/registry.h"
#include "state/types.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_set>
#include <utility>
#include <vector>

namespace roserail
{

class CrashingParts
{
public:
    // Records that an endpoint's process ended while a request with these parts ran there. `parts`: those that other requests
    // may have as well. `events`: of its stream that had been received.
    void recordCrash(const std::vector<PromptPartId> &parts, uint64_t events, const std::string &endpoint, uint64_t startedAtMs, Time now);
    // Records that a request with these parts was answered completely.
    void recordAnswer(const std::vector<PromptPartId> &parts, Time now);
    // Replaces the reports of other routers by those in the registry; `self` is this router.
    void update(const Registry &registry, const std::string &self, Time now);

    bool shouldRefuse(const std::vector<PromptPartId> &parts) const;
    // Returns the number of endpoint processes that crashed while requests with this part ran there, by the reports of all routers.
    size_t crashCount(PromptPartId part) const;
    // Returns the parts that are refused.
    const std::set<PromptPartId> &refused() const
    {
        return m_refused;
    }
    // Removes this router's expired reports and adds the remaining ones to its state, to be sent to other routers.
    void addReports(pb::RouterState &state, Time now);

private:
    using EndpointIncarnation = std::pair<std::string, uint64_t>; // endpoint id and start time of its process
    using Evidence = std::map<PromptPartId, std::set<EndpointIncarnation>>;
    struct Crash {
        EndpointIncarnation incarnation;
        std::set<PromptPartId> parts;
        Time at{};
    };

    void addOwn(const EndpointIncarnation &incarnation, const std::set<PromptPartId> &parts, Time at);
    void addOther(const pb::PartCrash &report, Time sentAt);
    // Repeats the reports of refused parts that other routers have sent.
    void adoptReports();
    // Drops reports of parts that are sound.
    void dropSoundParts();
    bool isSound(PromptPartId part) const;
    void rememberSound(PromptPartId part);
    // Selects the sound parts to report: those that other routers suspect. One router's report is enough for all.
    void updateSoundReports(Time now);
    Time reportSoundAt(PromptPartId part, Time now) const;
    void expire(Time now);
    Evidence evidence() const;
    // Determines the refused parts from all reports.
    void evaluate();

    std::deque<Crash> m_ownReports; // oldest first
    std::map<EndpointIncarnation, Crash> m_otherReports;
    std::map<PromptPartId, Time> m_soundReports; // suspected elsewhere and sound, with the time from which this router says so
    std::set<PromptPartId> m_reportedSound; // by other routers
    std::string m_self;
    size_t m_routers = 1;
    // Parts of requests that were answered, here or as other routers have reported. When the newer set is full, the older one is dropped.
    std::unordered_set<uint64_t> m_sound;
    std::unordered_set<uint64_t> m_soundBefore;
    std::set<PromptPartId> m_refused;
};

} // namespace roserail
