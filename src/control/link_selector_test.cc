#include "control/link_selector.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace cardamompaddle {

namespace {

class LinkSelectorTest : public ::testing::Test
{
protected:
    void addMember(const std::string &name, int64_t cpuMilli = 0)
    {
        work::Member member;
        member.name = name;
        member.address = name + ":1";
        member.cpuMilli = cpuMilli;
        m_members[name] = member;
    }
    void addMembers(int count)
    {
        addMember("self", 9'000);
        for (int i = 0; i < count; ++i)
            addMember("m" + std::to_string(i));
    }
    void update(size_t workers) { m_selector.update(m_members, workers, m_now); }
    // Acknowledges a probe of every candidate.
    void acknowledgeAll(Duration took = Duration(5))
    {
        for (const std::string &name : m_selector.candidates())
            m_selector.acknowledged(name, took, m_now);
    }
    std::map<std::string, std::string> assignment(int workers) const
    {
        std::map<std::string, std::string> out;
        for (int i = 0; i < workers; ++i) {
            const std::string id = "w" + std::to_string(i);
            const std::string *link = m_selector.linkOf(id);
            out[id] = link == nullptr ? "" : *link;
        }
        return out;
    }

    std::map<std::string, work::Member> m_members;
    LinkSelector m_selector{"self"};
    Instant m_now = instantFromMs(10'000);
};

} // namespace

// Guards against a small fleet that behaves differently from before.
TEST_F(LinkSelectorTest, SmallFleetsAreCalledDirectly)
{
    addMembers(10);
    update(MaxDirectWorkers);
    EXPECT_TRUE(m_selector.candidates().empty());
    EXPECT_EQ(m_selector.linkOf("w"), nullptr);
    update(MaxDirectWorkers + 1);
    EXPECT_EQ(m_selector.candidates().size(), 2U);
}

// Guards against calls to an instance that does not exist any more: its member record stays.
TEST_F(LinkSelectorTest, AnInstanceIsUsedOnlyWhileItAcknowledges)
{
    addMembers(40);
    update(350);
    EXPECT_EQ(m_selector.candidates().size(), 8U);
    EXPECT_EQ(m_selector.linkOf("w"), nullptr);
    acknowledgeAll();
    EXPECT_EQ(m_selector.selected().size(), 8U);
    EXPECT_NE(m_selector.linkOf("w"), nullptr);
    const auto candidates = m_selector.candidates();
    EXPECT_EQ(std::count(candidates.begin(), candidates.end(), "self"), 0);
    m_now += MaxAcknowledgementAge;
    update(350);
    EXPECT_EQ(m_selector.linkOf("w"), nullptr);
}

TEST_F(LinkSelectorTest, TheLossOfALinkMovesOnlyItsWorkers)
{
    addMembers(40);
    update(350);
    acknowledgeAll();
    const auto before = assignment(350);
    const std::string lost = m_selector.selected().front();
    m_selector.failed(lost, m_now);
    const auto without = assignment(350);
    acknowledgeAll(); // of its replacement too
    const auto replaced = assignment(350);
    EXPECT_EQ(m_selector.selected().size(), 8U);
    int moved = 0;
    int gained = 0;
    const auto isNew = [this, &before](const std::string &name) {
        return std::none_of(before.begin(), before.end(),
                            [&name](const auto &it) { return it.second == name; });
    };
    for (const auto &[worker, link] : before) {
        EXPECT_TRUE(link == lost || without.at(worker) == link) << worker;
        moved += link == lost ? 1 : 0;
        // The replacement takes over workers; no others change their link.
        EXPECT_TRUE(replaced.at(worker) == without.at(worker) || isNew(replaced.at(worker)));
        gained += isNew(replaced.at(worker)) ? 1 : 0;
    }
    EXPECT_GT(moved, 20);
    EXPECT_LT(moved, 80);
    EXPECT_GT(gained, 20);
    EXPECT_LT(gained, 80);
}

// Guards against a scheduler that spends its time on instances that have failed.
TEST_F(LinkSelectorTest, BackoffGrowsWithConsecutiveFailures)
{
    addMembers(1);
    update(100);
    const auto probedAfter = [this](Duration wait) {
        m_now += wait;
        update(100);
        return !m_selector.candidates().empty();
    };
    const auto failAndExpect = [&](Duration backoff) {
        m_selector.failed("m0", m_now);
        EXPECT_FALSE(probedAfter(backoff - Duration(1)));
        EXPECT_TRUE(probedAfter(Duration(1)));
    };
    failAndExpect(Duration(1'000));
    failAndExpect(Duration(2'000));
    failAndExpect(Duration(4'000));
    failAndExpect(Duration(8'000));
    failAndExpect(Duration(8'000));
    acknowledgeAll();
    acknowledgeAll();
    failAndExpect(Duration(1'000));
}

TEST_F(LinkSelectorTest, ASlowInstanceIsNotUsed)
{
    addMembers(1);
    update(100);
    acknowledgeAll();
    ASSERT_NE(m_selector.linkOf("w"), nullptr);
    EXPECT_TRUE(m_selector.acknowledged("m0", 2 * MaxAcknowledgementTime, m_now))
        << "a single late one";
    bool usable = true;
    for (int i = 0; i < 5 && usable; ++i)
        usable = m_selector.acknowledged("m0", 2 * MaxAcknowledgementTime, m_now);
    EXPECT_FALSE(usable);
    EXPECT_EQ(m_selector.linkOf("w"), nullptr);
}

TEST_F(LinkSelectorTest, PrefersLargerMachines)
{
    addMembers(40);
    for (const char *name : {"m3", "m17"})
        addMember(name, 500);
    update(90);
    auto candidates = m_selector.candidates();
    std::sort(candidates.begin(), candidates.end());
    EXPECT_EQ(candidates, (std::vector<std::string>{"m17", "m3"}));
}

// Guards against a takeover after which all connections to workers are opened again.
TEST_F(LinkSelectorTest, SuccessiveSchedulersSelectMostlyTheSame)
{
    addMembers(40);
    update(350);
    acknowledgeAll();
    LinkSelector next(m_selector.selected().front());
    next.update(m_members, 350, m_now);
    for (const std::string &name : next.candidates())
        next.acknowledged(name, Duration(5), m_now);
    int same = 0;
    for (const auto &[worker, link] : assignment(350))
        same += *next.linkOf(worker) == link ? 1 : 0;
    EXPECT_GT(same, 220);
}

} // namespace cardamompaddle
