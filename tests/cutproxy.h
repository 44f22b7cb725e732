// TCP proxy on loopback in front of one endpoint, so that a test can cut one host from it while others reach it.
#pragma once

#include <atomic>
#include <list>
#include <mutex>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

namespace roserail::test
{

// What happens to connections through a cut.
enum class CutKind {
    Hang, // open ones and attempts to connect get no answer
    Reset, // open ones are reset, attempts to connect get no answer
    RefuseNew, // open ones live on, new ones are refused
    ResetAndRefuse, // open ones are reset, new ones are refused, as if the endpoint's process had ended
};
std::ostream &operator<<(std::ostream &out, CutKind kind);

class CutProxy
{
public:
    explicit CutProxy(int targetPort);
    ~CutProxy();
    CutProxy(const CutProxy &) = delete;
    CutProxy &operator=(const CutProxy &) = delete;

    std::string address() const;
    void cut(CutKind kind);
    void heal();

private:
    struct Link {
        int caller = -1;
        int target = -1;
        std::thread thread;
    };
    void acceptConnections();
    void pump(const Link &link);
    void listen();
    void closeListener();

    int m_targetPort;
    int m_port = 0;
    int m_listener = -1;
    std::atomic<bool> m_accepting{true};
    std::atomic<bool> m_silent{false};
    std::atomic<bool> m_stop{false};
    std::mutex m_mutex; // guards the next two members
    std::list<Link> m_links;
    std::vector<int> m_fillers; // connections that occupy the queue of the listener
    std::thread m_acceptThread;
};

} // namespace roserail::test
