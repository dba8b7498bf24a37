// A simulated cluster: several nodes with fake platform services in one process and virtual time,
// and an oracle that checks the workers' histories and the answers to callers and operators.
#pragma once

#include "node/caller_service.h"
#include "node/node.h"
#include "node/operator_service.h"
#include "proof/fake_platform.h"
#include "proof/oracle.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle::proof {

struct ClusterOptions
{
    int members = 3;
    int workers = 6; // spread over two availability zones, two per rack
    uint64_t seed = 1;
    Duration logRetention{60'000}; // the log drops records at this age
    Duration taskLease{8'000};
};

// A simulated cluster. Members and workers are named by index, starting at 0. Not thread-safe.
class Cluster
{
public:
    explicit Cluster(const ClusterOptions &options);
    ~Cluster();

    FakeWorld &world() { return m_world; }
    Oracle &oracle() { return m_oracle; }
    int members() const { return m_options.members; }
    int workers() const { return m_options.workers; }
    // Advances virtual time by `length`. Every running member ticks every 20 ms.
    void run(Duration length);

    // Ends the member without a handover.
    void kill(int member);
    // Starts the member with a new incarnation; does nothing if it runs.
    void start(int member);
    // Delays all callbacks of the member until `length` has passed.
    void pause(int member, Duration length);
    bool running(int member) const { return m_members[index(member)] != nullptr; }
    // Begins a planned stop. The member ends once it has handed over its pools.
    void stop(int member);
    Node &node(int member) { return *m_members[index(member)]->node; }

    // Commands of operators, each sent to one member. The oracle records which were confirmed. A
    // member that is down or paused ignores the command.
    void applyTables(int member, int32_t limitOfLarge, int32_t limitOfSmall);
    void createKey(int member, const std::string &team);
    void withdrawKey(int member, const std::string &team);
    void setZone(int member, const std::string &zone, bool out);
    // Work of callers, sent with the team's newest key and a generated id. Does nothing if the
    // member is down or paused, or the team has no key.
    void request(int member, const std::string &team, bool repeatable, Duration runTime);
    void submit(int member, const std::string &team, WorkKind kind, int tasks, bool repeatable,
                Duration runTime);
    void cancelRandomJobs(int member, int count);

    // Clears all injected faults and starts every member that is down. A pause ends on its own.
    void heal();
    // Violations that the oracle has recorded so far.
    const std::vector<std::string> &violations() const { return m_oracle.violations(); }
    // Last time at which every member could reach the log. Maintained by the fault plan.
    Instant logLastReachableAt;
    // Accepted jobs that no member has reported as ended, one description each.
    std::vector<std::string> unfinishedJobs();
    // True if every running member refuses service because configuration records expired unread and
    // no snapshot covers them, as docs/design.md section 2.4 requires.
    bool isConfigLost() const;
    // Describes the state of each member, to be printed with a failed run.
    std::string describe() const;

private:
    struct Member
    {
        std::unique_ptr<MemberContext> context;
        std::unique_ptr<FakeLogClient> log;
        std::unique_ptr<FakeWorkerClient> workers;
        std::unique_ptr<FakeInstanceListClient> instances;
        std::unique_ptr<FakePeerTransport> peers;
        std::unique_ptr<Registry> metrics;
        std::unique_ptr<Node> node;
        std::unique_ptr<CallerService> callers;
        std::unique_ptr<OperatorService> operators;
        bool stopping = false;
    };
    struct TeamKey
    {
        std::string id;
        std::string key; // the secret that callers present
    };

    static size_t index(int member) { return static_cast<size_t>(member); }
    std::string tablesJson(int32_t limitOfLarge, int32_t limitOfSmall) const;
    void tick(Member *member);
    void checkConfig(const Member &member);
    void recordEndedJobs(const Member &member);
    // The member, or null if it is down or paused.
    Member *availableMember(int member);
    std::string nextId(const std::string &prefix);

    ClusterOptions m_options;
    FakeWorld m_world;
    Oracle m_oracle;
    FakePeerTransport::Directory m_directory;
    std::vector<std::unique_ptr<Member>> m_members; // null while the member is down
    // Killed members. Pending events still refer to their contexts.
    std::vector<std::unique_ptr<Member>> m_killed;
    std::map<std::string, std::vector<TeamKey>> m_keys; // by team, newest last
    std::vector<JobKey> m_jobs; // accepted jobs
    std::set<JobKey> m_endedJobs; // accepted jobs that some member has shown as ended
    uint64_t m_nextId = 1;
    uint64_t m_nextIncarnation = 1;
};

} // namespace cardamompaddle::proof
