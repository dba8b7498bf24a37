#include "lab.h"

#include <csignal>
#include <iostream>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string name = argc > 1 ? argv[1] : "";
    for (const review::Scenario &it : review::scenarios()) {
        if (name != it.name)
            continue;
        const review::Verdict verdict = it.run();
        std::cout << name << ": "
                  << (verdict == review::Verdict::Held     ? "the rule held"
                      : verdict == review::Verdict::Broken ? "THE RULE IS BROKEN"
                                                           : "could not run")
                  << std::endl;
        return static_cast<int>(verdict);
    }
    std::cerr << "no scenario " << name << "\n";
    return static_cast<int>(review::Verdict::CannotRun);
}
