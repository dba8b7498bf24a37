#include "standins/timer_thread.h"

#include <utility>

namespace cardamompaddle {

TimerThread::TimerThread() : m_thread([this] { run(); }) { }

TimerThread::~TimerThread()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void TimerThread::runAt(Time time, std::function<void()> callback)
{
    {
        const std::lock_guard lock(m_mutex);
        m_pending.emplace(time, std::move(callback));
    }
    m_changed.notify_all();
}

void TimerThread::runAfter(std::chrono::milliseconds delay, std::function<void()> callback)
{
    runAt(std::chrono::steady_clock::now() + delay, std::move(callback));
}

void TimerThread::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_pending.empty()) {
            m_changed.wait(lock);
            continue;
        }
        const auto first = m_pending.begin();
        if (const Time due = first->first; due > std::chrono::steady_clock::now()) {
            m_changed.wait_until(lock, due);
            continue;
        }
        const auto callback = std::move(first->second);
        m_pending.erase(first);
        lock.unlock();
        callback();
        lock.lock();
    }
}

} // namespace cardamompaddle
