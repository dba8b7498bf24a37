// The command-line program for operators and callers.

#include "cli/commands.h"
#include "net/blocking_client.h"

#include <array>
#include <cstdio>
#include <iostream>
#include <random>
#include <thread>

namespace cardamompaddle {
namespace {

// Sends requests over the network and blocks until the response has arrived.
class BlockingHttpCall : public HttpCall
{
public:
    Result<HttpResponse> send(const std::string &address, const ApiRequest &request) override
    {
        std::map<std::string, std::string> headers;
        if (!request.bearer.empty())
            headers["Authorization"] = "Bearer " + request.bearer;
        if (!request.body.empty())
            headers["Content-Type"] = "application/json";
        return blockingRequest(address, request.method, request.target, request.body,
                               request.timeout, headers);
    }
};

// Returns "cli-" and 128 random bits as hexadecimal digits.
std::string randomId()
{
    std::random_device device;
    std::string out = "cli-";
    for (int n = 0; n < 4; ++n) {
        std::array<char, 9> buf{};
        std::snprintf(buf.data(), buf.size(), "%08x", device());
        out += buf.data();
    }
    return out;
}

int run(int argc, char **argv)
{
    const Result<Invocation> invocation =
        parseArguments(std::vector<std::string>(argv + 1, argv + argc));
    if (!invocation) {
        std::cerr << invocation.error().reason << "; see cardamompaddle --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
    BlockingHttpCall http;
    const ExitCode code = runCommand(
        *invocation, http, std::cout, std::cerr,
        [](Duration pause) { std::this_thread::sleep_for(pause); }, randomId);
    return static_cast<int>(code);
}

} // namespace
} // namespace cardamompaddle

int main(int argc, char **argv)
{
    return cardamompaddle::run(argc, argv);
}
