// cardamompaddle-soak: plays faults on real entry instances and checks the promises to callers.

#include "fault_driver.h"
#include "soak.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <string>

DEFINE_uint64(seed, 1, "Seed of everything that is chosen at random");
DEFINE_double(minutes, 1, "Time with faults");
DEFINE_int32(instances, 5, "Number of entry instances");
DEFINE_int32(workers, 24, "Number of workers");
DEFINE_int32(callers, 24, "Number of callers");
DEFINE_int32(append_ms, 2, "How long the log takes for an append");
DEFINE_string(profile, "default", "Policy service and gangs: default, fitting or fitting_grown");
DEFINE_int32(limit_tasks, 0, "Limit of the client account in tasks; 0: none");
DEFINE_int32(keep_final_s, 20, "Setting of the instances: how long ended jobs are kept");
DEFINE_int32(clock_skew_s, 200, "Largest error of the instances' time of day; 0: none");
DEFINE_string(fault, "", "Name of the only fault to play; all if empty");
DEFINE_string(entry, "", "Path of cardamompaddle-entry");
DEFINE_string(folder, "", "Folder for settings and logs; a new temporary one by default");

namespace {

// Returns whether the flags make sense; otherwise tells why not.
bool checkFlags()
{
    const char *problem = nullptr;
    if (FLAGS_entry.empty())
        problem = "--entry=PATH is required";
    else if (FLAGS_minutes <= 0 || FLAGS_instances < 1 || FLAGS_workers < 1 || FLAGS_callers < 1)
        problem = "--minutes, --instances, --workers and --callers must be positive";
    else if (FLAGS_keep_final_s < 1 || FLAGS_clock_skew_s < 0 || FLAGS_append_ms < 0)
        problem = "--keep_final_s must be positive, --clock_skew_s and --append_ms not negative";
    else if (!cardamompaddle::soak::siteProfile(FLAGS_profile))
        problem = "--profile must be default, fitting or fitting_grown";
    else if (FLAGS_limit_tasks < 0)
        problem = "--limit_tasks must not be negative";
    else if (!FLAGS_fault.empty() && !cardamompaddle::soak::FaultDriver::isFault(FLAGS_fault))
        problem = "--fault must name a fault";
    if (problem != nullptr)
        std::fprintf(stderr, "cardamompaddle-soak: %s\n", problem);
    return problem == nullptr;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace cardamompaddle;
    std::signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage("cardamompaddle-soak --entry=PATH [--seed=N] [--minutes=M]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (!checkFlags())
        return 2;
    constexpr double MsPerMinute = 60'000;
    soak::SoakOptions options;
    options.seed = FLAGS_seed;
    options.length = Duration(static_cast<int64_t>(FLAGS_minutes * MsPerMinute));
    options.instances = FLAGS_instances;
    options.workers = FLAGS_workers;
    options.callers = FLAGS_callers;
    options.appendTime = Duration(FLAGS_append_ms);
    options.profile = *soak::siteProfile(FLAGS_profile);
    options.limitTasks = FLAGS_limit_tasks;
    options.keepEnded = std::chrono::seconds(FLAGS_keep_final_s);
    options.clockSkew = std::chrono::seconds(FLAGS_clock_skew_s);
    options.onlyFault = FLAGS_fault;
    options.program = FLAGS_entry;
    std::string folder = FLAGS_folder;
    if (folder.empty()) {
        folder = (std::filesystem::temp_directory_path() / "cardamompaddle-soak-XXXXXX").string();
        if (::mkdtemp(folder.data()) == nullptr) {
            std::fprintf(stderr, "cardamompaddle-soak: cannot create %s\n", folder.c_str());
            return 2;
        }
    }
    std::filesystem::create_directories(folder);
    options.folder = folder;
    const auto report = soak::runSoak(options);
    if (!report) {
        std::fprintf(stderr, "cardamompaddle-soak: %s; logs in %s\n", report.error().reason.c_str(),
                     folder.c_str());
        return 2;
    }
    std::fputs(report->text.c_str(), stdout);
    if (report->violations > 0)
        std::printf("logs of the instances are in %s\n", folder.c_str());
    else if (FLAGS_folder.empty())
        std::filesystem::remove_all(folder);
    return report->violations == 0 ? 0 : 1;
}
