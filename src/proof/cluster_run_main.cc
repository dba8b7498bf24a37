// Runs a simulated cluster with random faults for many rounds. For each failed round, prints the
// seed that reproduces it, the steps and the violations. The last line is "cluster_run: N passed,
// M failed". Exits with 1 if any round failed.

#include "proof/fault_plan.h"

#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <exception>
#include <random>
#include <sstream>

DEFINE_uint64(seed, 1, "Seed of the first round; each later round uses the next seed");
DEFINE_double(minutes, 0.1, "Wall-clock time to run; the current round is finished");
DEFINE_int32(rounds, 0, "Number of rounds; if above 0, --minutes is ignored");
DEFINE_int32(steps, 60, "Number of steps in a round");
DEFINE_bool(verbose, false, "Print each step as it is applied");

namespace cardamompaddle::proof {
namespace {

// Runs one round and prints its violations. Returns true if there are none.
bool runRound(uint64_t seed)
{
    std::mt19937_64 random(seed);
    ClusterOptions options;
    options.seed = seed;
    options.members = random() % 3 == 0 ? 5 : 3;
    Cluster cluster(options);
    std::ostringstream steps;
    try {
        bootstrap(cluster);
        for (int n = 0; n < FLAGS_steps && cluster.violations().empty(); ++n) {
            const Step step = randomStep(random);
            steps << ' ' << step;
            if (FLAGS_verbose)
                std::printf("%s\n", steps.str().substr(steps.str().rfind(' ') + 1).c_str());
            apply(cluster, step);
        }
        if (cluster.violations().empty())
            healAndVerify(cluster);
    } catch (const std::exception &ex) {
        cluster.oracle().addViolation(std::string("broken invariant: ") + ex.what());
    }
    if (cluster.violations().empty())
        return true;
    std::printf("seed %llu:%s\n", static_cast<unsigned long long>(seed), steps.str().c_str());
    for (const std::string &it : cluster.violations())
        std::printf("  %s\n", it.c_str());
    std::printf("%s", cluster.describe().c_str());
    return false;
}

int runAll()
{
    const auto begin = std::chrono::steady_clock::now();
    const auto limit = std::chrono::duration<double>(FLAGS_minutes * 60);
    int passed = 0;
    int failed = 0;
    for (uint64_t seed = FLAGS_seed;; ++seed) {
        const bool done = FLAGS_rounds > 0 ? passed + failed >= FLAGS_rounds
                                           : std::chrono::steady_clock::now() - begin >= limit;
        if (done)
            break;
        (runRound(seed) ? passed : failed) += 1;
        std::fflush(stdout);
    }
    std::printf("cluster_run: %d passed, %d failed\n", passed, failed);
    return failed == 0 ? 0 : 1;
}

} // namespace
} // namespace cardamompaddle::proof

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return cardamompaddle::proof::runAll();
}
