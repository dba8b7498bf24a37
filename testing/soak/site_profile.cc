#include "site_profile.h"

#include <array>

namespace cardamompaddle::soak {

namespace {

struct NamedProfile
{
    const char *name;
    SiteProfile profile;
};

} // namespace

Result<SiteProfile> siteProfile(const std::string &name)
{
    static const std::array<NamedProfile, 3> all = {{
        {"default", {{0.75, Duration(100), 5, Duration(3'000)}, {5, 1}}},
        {"fitting", {{0.35, Duration(420), 6.1, Duration(2'000)}, {45, 3}}},
        {"fitting_grown", {{0.35, Duration(400), 5.7, Duration(2'000)}, {68, 1}}},
    }};
    for (const NamedProfile &it : all) {
        if (name == it.name)
            return it.profile;
    }
    return Error{ErrorCode::InvalidArgument, "no profile " + name};
}

} // namespace cardamompaddle::soak
