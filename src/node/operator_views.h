// The rows of the operators' views that one member knows, as JSON.
#pragma once

#include "base/time.h"

#include <boost/json/array.hpp>

#include <optional>
#include <string>

namespace cardamompaddle {

class Node;

// Returns the rows of `view` that this member knows: those of its pools, its quota coordinators and
// its own state, or those that every member knows (zones, keys). Empty for an unknown view.
std::optional<boost::json::array> viewRows(Node &node, const std::string &view, Instant now);

// True if every member has the same rows, so that the rows of one member suffice.
bool isSharedView(const std::string &view);

} // namespace cardamompaddle
