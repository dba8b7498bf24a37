#include "control/instance_testing.h"
#include "work/codec.h"

#include <optional>
#include <string>
#include <utility>

namespace cardamompaddle {
namespace {

// Guards against an accepted job that its instance doesn't know and its scheduler never starts,
// because the log forgot its history while jobs of several pages were stored.
TEST_F(InstanceTest, AJobStoredWhileTheTopicIsLoadedAgainIsKnownAndStarted)
{
    Node &node = addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(node, "b"), SubmitOutcome::Accepted);
    ASSERT_EQ(submit(node, "d"), SubmitOutcome::Accepted);
    // Another instance stores jobs, and its publications are lost.
    const auto put = [this](const std::string &id) {
        m_model.put(JobsTopic, work_key::job(id), encodeRecord(makeJob(id)));
    };
    node.log->pageSize = 1;
    bool stored = false;
    node.log->beforePage = [&](const std::string &topic, const std::string &after) {
        if (topic != JobsTopic || after != work_key::job("b") || std::exchange(stored, true))
            return;
        put("a");
        put("c");
    };
    put("e");
    m_model.expire(JobsTopic);
    ASSERT_TRUE(runUntil([&] { return stored && m_workers.starts >= 4; }));
    runUntil([&] { return m_workers.starts >= 5; }, Duration(1'500));
    EXPECT_EQ(m_workers.starts, 5);
    std::optional<bool> found;
    node.instance->submitter().find(
        "a", [&found](const JobEntry *entry, bool) { found = entry != nullptr; });
    ASSERT_TRUE(runUntil([&] { return found.has_value(); }));
    EXPECT_TRUE(*found) << "an accepted job is reported not to exist";
}

} // namespace
} // namespace cardamompaddle
