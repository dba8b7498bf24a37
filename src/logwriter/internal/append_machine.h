// The state machine of one record that is being appended.
#pragma once

#include "logwriter/log_writer.h"

#include <cstdint>
#include <memory>

namespace cardamompaddle {

enum class AppendState {
    Idle, // no attempt is in progress
    Appending, // an attempt awaits its answer
    ReadingBack, // answered, or the answer was lost; waiting until the stream shows the outcome
    Done,
};

// Not thread-safe. Events that have no transition from the current state are ignored.
class AppendMachine
{
public:
    AppendMachine();
    ~AppendMachine();
    AppendMachine(AppendMachine &&) noexcept;
    AppendMachine &operator=(AppendMachine &&) noexcept;

    AppendState state() const;
    // Precondition: state() is Done.
    const WriteOutcome &outcome() const;
    // True if the answer was lost and the end of the stream has not been read since.
    bool needsTailRead() const;

    void attemptStarted();
    void appendConfirmed(uint64_t offset);
    // The attempt definitely did not append the record.
    void appendRefused(const std::string &reason);
    void answerLost(const std::string &reason);
    // The end of the stream was read after the answer was lost: the next append gets offset `next`.
    void tailRead(uint64_t next);
    // The fold has applied every record below `next`, and this record was not among them.
    void folded(uint64_t next);
    // The record was read from the stream.
    void recordObserved(uint64_t offset);
    void deadlineReached();

private:
    struct Backend;
    std::unique_ptr<Backend> m_backend;
};

} // namespace cardamompaddle
