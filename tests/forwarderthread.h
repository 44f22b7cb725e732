// A forwarder in the test's own process, on a thread of its own. Tests derive from it what they need: a configuration, endpoints, peers.
#pragma once

#include "platform/codec.h"
#include "transport/forwarder.h"

#include <future>
#include <thread>

namespace roserail::test
{

class ForwarderThread
{
public:
    explicit ForwarderThread(const std::string &zone)
        : m_balancer(zone)
    {
        m_retries.setShare(100, 1);
    }
    ~ForwarderThread() = default;
    ForwarderThread(const ForwarderThread &) = delete;
    ForwarderThread &operator=(const ForwarderThread &) = delete;

    // Runs `change` on the forwarder after a time.
    void after(Millis delay, std::function<void(Forwarder &)> change)
    {
        std::shared_ptr<net::steady_timer> timer = std::make_shared<net::steady_timer>(m_io, delay);
        timer->async_wait([this, timer, change = std::move(change)](const ErrorCode &) { change(m_forwarder); });
    }
    // Runs `change` on the forwarder and waits until it has returned.
    void run(const std::function<void(Forwarder &)> &change)
    {
        std::promise<void> done;
        net::post(m_io, [&] {
            change(m_forwarder);
            done.set_value();
        });
        done.get_future().wait();
    }
    // To be used on the thread of the forwarder only.
    Balancer &balancer()
    {
        return m_balancer;
    }

protected:
    // Called once the servers listen.
    void start()
    {
        m_thread = std::thread([this] { m_io.run(); });
    }
    // Called before the servers are destroyed.
    void stop()
    {
        m_io.stop();
        m_thread.join();
    }

    net::io_context m_io{1};
    Balancer m_balancer;
    RetryLimits m_retries{0.2, Millis(10000), std::nullopt};
    CrashWatch m_crashes;
    CrashingParts m_crashingParts;
    Forwarder m_forwarder{m_io, platform::codec(), m_balancer, m_retries, m_crashes, m_crashingParts};

private:
    std::thread m_thread;
};

} // namespace roserail::test
