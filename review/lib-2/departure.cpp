// A runner's withdrawal is acknowledged by a control host that has never heard of the runner. See review/7/claim.txt.
#include "site.h"

using namespace review;

namespace
{

constexpr double HeartbeatMs = 1200;
constexpr double DrainMs = 2000;
constexpr double LingerMs = 3000; // the runner serves this much longer than drain_ms
constexpr double ContactMs = 3000;

const char *const Host = "ficu95.example";

std::string configuration()
{
    return R"({"version":7,"routes":[{"name":"r-1","host":"ficu95.example","path_prefix":"/lees/","type":"safe","timeout_ms":1000,)"
           R"("target_latency_ms":100,"priority":2,"service":"dossier","max_attempts":2}],)"
           R"("services":[{"name":"dossier","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

// A plain server. It calls one control host until a call fails, and then the next one of its list.
class Runner
{
public:
    Runner(Record &record, const Site &site, const std::string &id, int address, std::vector<int> nodes)
        : m_record(record)
        , m_site(site)
        , m_id(id)
        , m_ip(site.ip(address))
        , m_nodes(std::move(nodes))
        , m_server(m_ip, Port, [this](const std::string &head, const std::string &) { return run(head); })
        , m_thread([this] { heartbeats(); })
    {
    }
    ~Runner()
    {
        m_stop = true;
        m_thread.join();
    }
    // Returns the time of the latest acknowledged heartbeat.
    double lastBeat() const
    {
        return m_lastBeat;
    }
    // Withdraws the runner, as those do that never report draining. Returns the time of the acknowledgement; negative: none.
    double leave()
    {
        m_leaving = true;
        for (size_t i = 0; i < m_nodes.size(); ++i) {
            const std::string node = m_site.ip(m_nodes[m_node % m_nodes.size()]);
            m_record.line("%s sends DELETE to the control host %s", m_id.c_str(), node.c_str());
            const Answer answer = call(node, m_site.control(), "DELETE", "/api/instances/" + m_id, "", "", 1000);
            m_record.line("%s gets %d from %s", m_id.c_str(), answer.status, node.c_str());
            if (answer.status / 100 == 2)
                return nowMs();
            ++m_node;
        }
        return -1;
    }
    void exit()
    {
        m_record.line("%s exits", m_id.c_str());
        m_server.stop();
    }
    // Returns the requests that it has run since a time.
    std::vector<std::pair<double, std::string>> runsSince(double ms)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::pair<double, std::string>> result;
        for (const std::pair<double, std::string> &it : m_runs) {
            if (it.first >= ms)
                result.push_back(it);
        }
        return result;
    }

private:
    static constexpr int Port = 8501;

    std::string run(const std::string &head)
    {
        const std::string id = headerOf(head, "X-Request-Id");
        const std::string echo = "X-Request-Id: " + id + "\r\n";
        const std::string expected = headerOf(head, "X-Expect-Instance");
        if (!expected.empty() && expected != m_id)
            return answerText(421, echo + "X-Not-Executed: 1\r\n", "");
        {
            const std::lock_guard lock(m_mutex);
            m_runs.emplace_back(nowMs(), id);
        }
        m_record.line("%s runs request %s", m_id.c_str(), id.c_str());
        sleepMs(15);
        return answerText(200, echo + "X-Server-Seal: seal-" + id + "\r\nX-Server-Load: 1,0,6\r\n", "status of " + id);
    }
    void heartbeats()
    {
        double next = nowMs();
        for (int sequence = 1; !m_stop && !m_leaving; ++sequence) {
            const std::string node = m_site.ip(m_nodes[m_node % m_nodes.size()]);
            const std::string body = "{\"service\":\"dossier\",\"address\":\"" + m_ip + ":" + std::to_string(Port)
                + "\",\"zone\":\"enschede-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":"
                + std::to_string(sequence) + ",\"born\":" + std::to_string(m_born) + "}";
            const Answer answer
                = call(node, m_site.control(), "PUT", "/api/instances/" + m_id, "Content-Type: application/json\r\n", body, 1000);
            m_record.line("%s: heartbeat %d to %s, %d", m_id.c_str(), sequence, node.c_str(), answer.status);
            if (answer.status / 100 == 2) {
                m_lastBeat = nowMs();
                next = std::max(next + HeartbeatMs, nowMs());
            } else {
                ++m_node;
                next = nowMs();
            }
            while (!m_stop && !m_leaving && nowMs() < next)
                sleepMs(5);
        }
    }

    Record &m_record;
    const Site &m_site;
    std::string m_id;
    std::string m_ip;
    std::vector<int> m_nodes;
    size_t m_node = 0;
    uint64_t m_born
        = uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    std::mutex m_mutex;
    std::vector<std::pair<double, std::string>> m_runs;
    std::atomic<double> m_lastBeat{-1};
    std::atomic<bool> m_stop{false};
    std::atomic<bool> m_leaving{false};
    Server m_server;
    std::thread m_thread;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        cannotRun("pass the folder of the record");
    Record record(std::string(argv[1]) + "/record.txt");
    Site site(record, 3, 6);
    site.startAll();
    if (!site.putConfiguration(configuration()))
        cannotRun("the configuration is not acknowledged");
    // Machines 4 to 6 have no disk: the core is 1 to 3.
    Runner leaver(record, site, "i-7f3a91c2", 101, {4, 6, 5});
    Runner other(record, site, "i-0bd818ce", 102, {5, 6, 4});
    const std::vector<int> calm{1, 2, 3, 5, 6}; // machines without a disruption, which clients use
    if (!site.waitUntilReady(calm))
        cannotRun("the machines are not ready");
    std::atomic<bool> stop{false};
    std::atomic<int> answered{0};
    std::thread clients([&] {
        for (int i = 0; !stop; ++i) {
            const int machine = calm[size_t(i) % calm.size()];
            char id[32];
            std::snprintf(id, sizeof id, "%016x", 0x1000 + i);
            const std::string headers = std::string("Host: ") + Host + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1000\r\n";
            const double sentAt = nowMs();
            const Answer answer = call(site.ip(machine), site.frontend(), "GET", "/lees/2f", headers, "", 1000);
            record.line("request %s sent to machine %d at %.1f, answered %d", id, machine, sentAt, answer.status);
            answered += answer.status == 200 ? 1 : 0;
            sleepMs(30);
        }
    });
    // All machines are in touch, and both servers are used.
    sleepMs(ContactMs + 2000);
    bool ready = false;
    for (const double until = nowMs() + 10000; !ready && nowMs() < until; sleepMs(50))
        ready = leaver.runsSince(nowMs() - 500).size() > 1 && other.runsSince(nowMs() - 500).size() > 1;
    int result = 2;
    std::string why = "the servers are not used";
    if (ready) {
        const double beat = leaver.lastBeat();
        while (leaver.lastBeat() == beat)
            sleepMs(1);
        sleepMs(300);
        if (trouble()) {
            site.signal("keeper-4", SIGKILL);
            site.signal("entry-4", SIGKILL);
        }
        const double acknowledgedAt = leaver.leave();
        why = "the withdrawal is not acknowledged";
        if (acknowledgedAt >= 0) {
            sleepMs(1000);
            if (trouble()) {
                site.startKeeper(4, false);
                site.startEntry(4, false);
            }
            while (nowMs() < acknowledgedAt + DrainMs + LingerMs)
                sleepMs(10);
            leaver.exit();
            const std::vector<std::pair<double, std::string>> late = leaver.runsSince(acknowledgedAt + DrainMs);
            record.line("DRAIN: %zu requests reached the runner later than %.0f ms after the acknowledgement (at %.1f ms)", late.size(),
                        DrainMs, acknowledgedAt);
            std::printf("%zu requests reached the runner later than %.0f ms after its withdrawal was acknowledged; %d answered in all\n",
                        late.size(), DrainMs, answered.load());
            result = late.empty() ? 0 : 1;
        }
    }
    stop = true;
    clients.join();
    if (result == 2)
        std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
    return result;
}
