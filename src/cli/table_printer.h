// Output of tables and untrusted text on a terminal.
#pragma once

#include <boost/json/array.hpp>

#include <iosfwd>
#include <string>
#include <string_view>

namespace cardamompaddle {

// Returns `text` with each ASCII control character replaced by '?', so that names chosen by callers
// cannot inject terminal escape sequences.
std::string printable(std::string_view text);

// Prints an array of objects as an aligned table. Columns are in the order of first appearance and
// right-aligned if all their values are numbers. Missing values are printed as "-". Prints "none"
// if there are no columns.
void printRows(std::ostream &out, const boost::json::array &rows);

} // namespace cardamompaddle
