// Rows of the operators' views that one member knows, as JSON.
#pragma once

#include "base/time.h"

#include <boost/json/array.hpp>

#include <optional>
#include <string>

namespace cardamompaddle {

class Node;

// Rows of `view` that only this member knows (its pools, its coordinators, its own state), or that
// every member knows (zones, keys). Empty for an unknown view.
std::optional<boost::json::array> viewRows(Node &node, const std::string &view, Instant now);

// True if every member has the same rows, so that none need be gathered.
bool isSharedView(const std::string &view);

} // namespace cardamompaddle
