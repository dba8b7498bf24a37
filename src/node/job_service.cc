#include "node/job_service.h"

#include "base/invariant.h"

#include <utility>

namespace cardamompaddle {
namespace {

constexpr Duration RepublishTimeout{4'000};

} // namespace

Result<std::unique_ptr<JobService>> JobService::create(LogClient &log, JobServiceOptions options)
{
    auto service = std::unique_ptr<JobService>(new JobService(log, options));
    LogWriterOptions writerOptions;
    writerOptions.stream = std::string(JobStream);
    auto writer = LogWriter::create(log, writerOptions, options.incarnation);
    if (!writer)
        return writer.error();
    service->m_writer = std::move(*writer);
    return service;
}

JobService::JobService(LogClient &log, JobServiceOptions options) : m_options(options)
{
    StreamFollowerOptions followerOptions;
    followerOptions.stream = std::string(JobStream);
    m_follower = std::make_unique<StreamFollower>(
        log, followerOptions, [this](const LogPage &page, Instant now) { handlePage(page, now); });
}

void JobService::setIncarnation(uint64_t incarnation)
{
    m_options.incarnation = incarnation;
    m_writer->setIncarnation(incarnation);
}

void JobService::handlePage(const LogPage &page, Instant now)
{
    const auto outcomes = m_store.applyPage(page, now, m_mostCurrent);
    for (const JobApplyOutcome &it : outcomes) {
        if (it.id)
            m_writer->observed(*it.id, it.offset, now);
    }
    m_writer->appliedTo(m_store.nextOffset(), now);
    if (m_store.nextOffset() >= page.next)
        m_readAsOf = m_follower->lastSuccess();
    if (!m_jobChanged)
        return;
    for (const JobApplyOutcome &it : outcomes) {
        for (const JobKey &key : it.changedJobs)
            m_jobChanged(key, now);
    }
}

void JobService::advance(Instant now)
{
    const bool eager = m_writer->needsRead();
    m_follower->advance(m_store.nextOffset(), eager, now);
    m_writer->advance(now);
}

void JobService::republish(const std::string &pool, Duration retention, Instant now)
{
    constexpr size_t MaxAtOnce = 50;
    if (!logUp() || !synced())
        return;
    for (const JobRef &it : m_store.dueForRepublication(pool, now, retention, MaxAtOnce)) {
        if (const auto record = m_store.makeRepublishedRecord(it.key))
            write(*record, now, now + RepublishTimeout, [](const RecordOutcome &, Instant) {});
    }
}

void JobService::write(decltype(JobRecord::body) body, Instant now, Instant deadline,
                       const WriteDone &done)
{
    const RecordId id = m_writer->nextId();
    const std::string text = formatJobRecord(JobRecord{id, std::move(body)});
    const auto queued = m_writer->write(
        id, text, now, deadline, [this, id, done](const WriteOutcome &outcome, Instant at) {
            const auto applied = m_store.outcomeOf(id);
            invariant(!applied || applied->kind != JobApplyKind::Invalid,
                      "a record that this member wrote is well formed",
                      applied ? applied->reason : "");
            done(RecordOutcome{outcome, applied}, at);
        });
    if (!queued)
        done(RecordOutcome{WriteOutcome{WriteResult::NotAppended, 0, queued.error().reason}, {}},
             now);
}

} // namespace cardamompaddle
