#include "control/peer_probe.h"

#include "control/testing_platform.h"

#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

class PeerProbeTest : public ::testing::Test
{
protected:
    // Returns the name of the peer that is found; "none" if there is none, "" if nothing was
    // reported.
    std::string find(const std::vector<std::string> &names)
    {
        std::vector<work::Member> candidates;
        for (const std::string &name : names) {
            candidates.emplace_back();
            candidates.back().name = name;
            candidates.back().address = name + ":1";
        }
        std::string found;
        m_probe.findAlive(candidates, [&found](const std::optional<work::Member> &it) {
            found = it ? it->name : "none";
        });
        m_io.restart();
        m_io.run_for(std::chrono::milliseconds(400));
        return found;
    }

    boost::asio::io_context m_io;
    testing::TestPolicy m_peers{m_io};
    PeerProbe m_probe{m_io, m_peers, "work"};
};

// Guards against a tenure that is handed over to an instance that is gone.
TEST_F(PeerProbeTest, FindsTheFirstCandidateThatAnswers)
{
    m_peers.receivers["b:1"] = m_peers.receivers["c:1"] = [](const work::StoredRecords &) {};
    EXPECT_EQ(find({"a", "b", "c"}), "b");
}

// Guards against a hand-over or a planned stop that never ends.
TEST_F(PeerProbeTest, ReportsWhenThereIsNoPeer)
{
    EXPECT_EQ(find({"a", "b"}), "none");
    EXPECT_EQ(find({}), "none");
}

} // namespace
} // namespace cardamompaddle
