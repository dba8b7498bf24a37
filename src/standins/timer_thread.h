// Runs functions at given times on a dedicated thread.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace cardamompaddle {

// Thread-safe. The destructor discards the callbacks that have not run yet and joins the thread.
class TimerThread
{
public:
    using Time = std::chrono::steady_clock::time_point;

    TimerThread();
    ~TimerThread();
    TimerThread(const TimerThread &) = delete;
    TimerThread &operator=(const TimerThread &) = delete;

    // Callbacks run one at a time, in order of time.
    void runAt(Time time, std::function<void()> callback);
    void runAfter(std::chrono::milliseconds delay, std::function<void()> callback);

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<Time, std::function<void()>> m_pending;
    bool m_stopping = false;
    std::thread m_thread; // declared last, since the thread uses the other members
};

} // namespace cardamompaddle
