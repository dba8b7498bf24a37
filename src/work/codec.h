// Bytes of the structs in work.thrift: Thrift's compact protocol.
#pragma once

#include "base/result.h"
#include "work/gen/work_types.h"

#include <string>
#include <string_view>

namespace cardamompaddle {

// T is one of the structs in work.thrift. Thread-safe.
template <typename T>
std::string encodeRecord(const T &value);
// Errors: InvalidArgument if the bytes are malformed or cut.
template <typename T>
Result<T> decodeRecord(std::string_view bytes);

} // namespace cardamompaddle
