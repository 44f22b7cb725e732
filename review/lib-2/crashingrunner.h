// A server that one request crashes, for the scripts of the review.
#pragma once

#include "site.h"

namespace review
{

constexpr double HeartbeatMs = 1200;
constexpr double DownMs = 2000; // of a runner that has crashed

// A plain server that ends when it begins to run the request with the path /actie/vergiftigd, and is back after `downMs` as a new
// incarnation with a new id. It works on the others for `workMs`.
class Runner
{
public:
    Runner(Record &record, const Site &site, int n, int slots, double workMs, double downMs = DownMs)
        : m_record(record)
        , m_site(site)
        , m_n(n)
        , m_slots(slots)
        , m_workMs(workMs)
        , m_downMs(downMs)
        , m_ip(site.ip(100 + n))
        , m_thread([this] { live(); })
    {
    }
    ~Runner()
    {
        m_stop = true;
        m_thread.join();
    }
    int crashes() const
    {
        return m_crashes;
    }
    bool up() const
    {
        return m_up;
    }
    int running() const
    {
        return m_running;
    }

private:
    static constexpr int Port = 8501;
    static constexpr int Queue = 24; // requests that wait

    void live()
    {
        for (int incarnation = 1; !m_stop; ++incarnation) {
            m_id = "i-" + std::to_string(m_n) + "-" + std::to_string(incarnation);
            m_crashed = false;
            {
                Server server(m_ip, Port, [this](const std::string &head, const std::string &) { return run(head); });
                m_record.line("runner %s starts", m_id.c_str());
                beat();
                server.stop();
                m_up = false;
            }
            for (const double until = nowMs() + m_downMs; !m_stop && nowMs() < until;)
                sleepMs(5);
        }
    }
    // Sends heartbeats until the runner ends.
    void beat()
    {
        const uint64_t born
            = uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
        double next = nowMs();
        int node = 0;
        for (int sequence = 1; !m_stop && !m_crashed; ++sequence) {
            const std::string body = "{\"service\":\"dossier\",\"address\":\"" + m_ip + ":" + std::to_string(Port)
                + "\",\"zone\":\"enschede-a\",\"version\":\"v1\",\"slots\":" + std::to_string(m_slots) + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":"
                + std::to_string(sequence) + ",\"born\":" + std::to_string(born) + "}";
            const Answer answer = call(m_site.ip(1 + (m_n + node) % 3), m_site.control(), "PUT", "/api/instances/" + m_id,
                                       "Content-Type: application/json\r\n", body, 1000);
            node += answer.status / 100 == 2 ? 0 : 1;
            m_up = m_up || answer.status / 100 == 2;
            next += HeartbeatMs;
            while (!m_stop && !m_crashed && nowMs() < next)
                sleepMs(2);
        }
    }
    std::string run(const std::string &head)
    {
        const std::string id = headerOf(head, "X-Request-Id");
        const std::string echo = "X-Request-Id: " + id + "\r\n";
        const std::string expected = headerOf(head, "X-Expect-Instance");
        if (!expected.empty() && expected != m_id)
            return answerText(421, echo + "X-Not-Executed: 1\r\n", "");
        if (head.find(" /actie/vergiftigd ") != std::string::npos) {
            ++m_crashes;
            m_record.line("runner %s begins to run request %s and crashes", m_id.c_str(), id.c_str());
            m_crashed = true;
            sleepMs(100); // the connection is closed meanwhile
            return "";
        }
        const auto load = [&] {
            const int held = m_held;
            return echo + "X-Server-Load: " + std::to_string(std::min(held, m_slots)) + "," + std::to_string(std::max(0, held - m_slots)) + ","
                + std::to_string(m_slots) + "\r\n";
        };
        if (++m_held > m_slots + Queue) {
            --m_held;
            return answerText(503, load() + "X-Not-Executed: 1\r\n", "");
        }
        while (++m_running > m_slots) { // it waits in the queue
            --m_running;
            if (m_crashed || m_stop) {
                --m_held;
                return "";
            }
            sleepMs(5);
        }
        for (const double until = nowMs() + m_workMs; nowMs() < until && !m_crashed && !m_stop;)
            sleepMs(std::min(20.0, m_workMs));
        --m_running;
        --m_held;
        if (m_crashed)
            return "";
        return answerText(200, load() + "X-Server-Seal: seal-" + id + "\r\n", "done " + id);
    }

    Record &m_record;
    const Site &m_site;
    int m_n;
    int m_slots;
    double m_workMs;
    double m_downMs;
    std::string m_ip;
    std::string m_id;
    std::atomic<int> m_crashes{0};
    std::atomic<int> m_running{0};
    std::atomic<int> m_held{0}; // running and waiting
    std::atomic<bool> m_crashed{false};
    std::atomic<bool> m_up{false};
    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

} // namespace review
