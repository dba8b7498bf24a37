#include "logwriter/internal/append_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <optional>
#include <utility>

namespace cardamompaddle {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

struct AttemptStarted
{ };
struct AppendConfirmed
{
    uint64_t offset;
};
struct AppendRefused
{
    std::string reason;
};
struct AnswerLost
{
    std::string reason;
};
struct TailRead
{
    uint64_t next;
};
struct Folded
{
    uint64_t next;
};
struct RecordObserved
{
    uint64_t offset;
};
struct DeadlineReached
{ };

struct Frontend : msm::front::state_machine_def<Frontend>
{
    struct Idle : msm::front::state<>
    { };
    struct Appending : msm::front::state<>
    { };
    struct ReadingBack : msm::front::state<>
    { };
    struct Done : msm::front::state<>
    { };
    using initial_state = Idle;

    // The fold has reached the tail that was read after a lost answer, without reading the record.
    struct IsAbsent
    {
        template <typename Fsm, typename Source, typename Target>
        bool operator()(const Folded &event, const Fsm &fsm, const Source &, const Target &) const
        {
            return fsm.targetOffset && event.next >= *fsm.targetOffset && !fsm.isConfirmed;
        }
    };
    // The fold has passed the confirmed offset without reading the record, because it was restored
    // from a snapshot.
    struct IsSkipped
    {
        template <typename Fsm, typename Source, typename Target>
        bool operator()(const Folded &event, const Fsm &fsm, const Source &, const Target &) const
        {
            return fsm.targetOffset && event.next >= *fsm.targetOffset && fsm.isConfirmed;
        }
    };
    struct HasNoTarget
    {
        template <typename Event, typename Fsm, typename Source, typename Target>
        bool operator()(const Event &, const Fsm &fsm, const Source &, const Target &) const
        {
            return !fsm.targetOffset;
        }
    };
    struct ClearTarget
    {
        template <typename Event, typename Fsm, typename Source, typename Target>
        void operator()(const Event &, Fsm &fsm, Source &, Target &) const
        {
            fsm.targetOffset.reset();
        }
    };
    struct SetTarget
    {
        template <typename Fsm, typename Source, typename Target>
        void operator()(const AppendConfirmed &event, Fsm &fsm, Source &, Target &) const
        {
            fsm.mayBeAppended = true;
            fsm.isConfirmed = true;
            fsm.targetOffset = event.offset + 1;
        }
        template <typename Fsm, typename Source, typename Target>
        void operator()(const TailRead &event, Fsm &fsm, Source &, Target &) const
        {
            fsm.targetOffset = event.next;
        }
    };
    struct SetReason
    {
        template <typename Fsm, typename Source, typename Target>
        void operator()(const AppendRefused &event, Fsm &fsm, Source &, Target &) const
        {
            fsm.lastReason = event.reason;
        }
        template <typename Fsm, typename Source, typename Target>
        void operator()(const AnswerLost &event, Fsm &fsm, Source &, Target &) const
        {
            fsm.lastReason = event.reason;
            fsm.mayBeAppended = true;
        }
    };
    struct SetAppended
    {
        template <typename Fsm, typename Source, typename Target>
        void operator()(const RecordObserved &event, Fsm &fsm, Source &, Target &) const
        {
            fsm.outcome = {WriteResult::Appended, event.offset, ""};
        }
    };
    struct SetFailed
    {
        template <typename Event, typename Fsm, typename Source, typename Target>
        void operator()(const Event &, Fsm &fsm, Source &, Target &) const
        {
            const bool unknown = fsm.mayBeAppended || fsm.isAttemptOpen;
            fsm.outcome = {unknown ? WriteResult::Unknown : WriteResult::NotAppended, 0,
                           fsm.isConfirmed ? "appended, but not read back from the stream"
                                           : fsm.lastReason};
        }
    };
    template <bool Open>
    struct SetAttemptOpen
    {
        template <typename Event, typename Fsm, typename Source, typename Target>
        void operator()(const Event &, Fsm &fsm, Source &, Target &) const
        {
            fsm.isAttemptOpen = Open;
        }
    };
    using OpenAttempt = SetAttemptOpen<true>;
    using CloseAttempt = SetAttemptOpen<false>;
    template <typename... Actions>
    using All = msm::front::ActionSequence_<mpl::vector<Actions...>>;

    // clang-format off
    // NOLINTNEXTLINE(readability-identifier-naming): MSM requires this name
    struct transition_table : mpl::vector<
        //  State        Event            Next         Action                         Guard
        Row<Idle,        AttemptStarted,  Appending,   All<OpenAttempt, ClearTarget>, none>,
        Row<Idle,        RecordObserved,  Done,        SetAppended,                   none>,
        Row<Idle,        DeadlineReached, Done,        SetFailed,                     none>,
        Row<Appending,   AppendConfirmed, ReadingBack, All<CloseAttempt, SetTarget>,  none>,
        Row<Appending,   AppendRefused,   Idle,        All<CloseAttempt, SetReason>,  none>,
        Row<Appending,   AnswerLost,      ReadingBack, All<CloseAttempt, SetReason>,  none>,
        Row<Appending,   RecordObserved,  Done,        SetAppended,                   none>,
        Row<Appending,   DeadlineReached, Done,        SetFailed,                     none>,
        Row<ReadingBack, TailRead,        none,        SetTarget,                     HasNoTarget>,
        Row<ReadingBack, Folded,          Idle,        none,                          IsAbsent>,
        Row<ReadingBack, Folded,          Done,        SetFailed,                     IsSkipped>,
        Row<ReadingBack, RecordObserved,  Done,        SetAppended,                   none>,
        Row<ReadingBack, DeadlineReached, Done,        SetFailed,                     none>
    > { };
    // clang-format on

    template <typename Fsm, typename Event>
    void no_transition(const Event &, Fsm &, int)
    { }

    // A record that the fold has not read counts as absent, or as skipped if it was confirmed, once
    // the fold has reached this offset. Empty until an answer or a read of the tail provides it.
    std::optional<uint64_t> targetOffset;
    bool isAttemptOpen = false; // an attempt awaits its answer
    bool mayBeAppended = false; // an attempt may have appended the record, or may do so later
    bool isConfirmed = false; // the log answered an attempt with an offset
    std::string lastReason = "no attempt was made before the deadline";
    WriteOutcome outcome;
};

} // namespace

struct AppendMachine::Backend
{
    msm::back::state_machine<Frontend> fsm;
};

namespace {

// MSM numbers the states in the order of the transition table; state() depends on this order.
template <typename State>
constexpr bool hasMsmId(AppendState state)
{
    using Table = msm::back::state_machine<Frontend>::stt;
    return msm::back::get_state_id<Table, State>::value == static_cast<int>(state);
}
static_assert(hasMsmId<Frontend::Idle>(AppendState::Idle));
static_assert(hasMsmId<Frontend::Appending>(AppendState::Appending));
static_assert(hasMsmId<Frontend::ReadingBack>(AppendState::ReadingBack));
static_assert(hasMsmId<Frontend::Done>(AppendState::Done));

} // namespace

AppendMachine::AppendMachine() : m_backend(std::make_unique<Backend>())
{
    m_backend->fsm.start();
}

AppendMachine::~AppendMachine() = default;
AppendMachine::AppendMachine(AppendMachine &&) noexcept = default;
AppendMachine &AppendMachine::operator=(AppendMachine &&) noexcept = default;

AppendState AppendMachine::state() const
{
    return static_cast<AppendState>(m_backend->fsm.current_state()[0]);
}

const WriteOutcome &AppendMachine::outcome() const
{
    return m_backend->fsm.outcome;
}

bool AppendMachine::needsTailRead() const
{
    return state() == AppendState::ReadingBack && !m_backend->fsm.targetOffset;
}

void AppendMachine::attemptStarted()
{
    m_backend->fsm.process_event(AttemptStarted{});
}

void AppendMachine::appendConfirmed(uint64_t offset)
{
    m_backend->fsm.process_event(AppendConfirmed{offset});
}

void AppendMachine::appendRefused(const std::string &reason)
{
    m_backend->fsm.process_event(AppendRefused{reason});
}

void AppendMachine::answerLost(const std::string &reason)
{
    m_backend->fsm.process_event(AnswerLost{reason});
}

void AppendMachine::tailRead(uint64_t next)
{
    m_backend->fsm.process_event(TailRead{next});
}

void AppendMachine::folded(uint64_t next)
{
    m_backend->fsm.process_event(Folded{next});
}

void AppendMachine::recordObserved(uint64_t offset)
{
    m_backend->fsm.process_event(RecordObserved{offset});
}

void AppendMachine::deadlineReached()
{
    m_backend->fsm.process_event(DeadlineReached{});
}

} // namespace cardamompaddle
