// Encodes the structs of work.thrift in Thrift's compact protocol and decodes them.
//
// All functions are thread-safe.
#pragma once

#include "base/result.h"
#include "work/gen/work_types.h"

#include <string>
#include <string_view>

namespace cardamompaddle {

// T is a struct of work.thrift that is stored or sent by itself; codec.cc lists them.
template <typename T>
std::string encodeRecord(const T &value);
// Errors: InvalidArgument if the bytes are malformed or truncated.
template <typename T>
Result<T> decodeRecord(std::string_view bytes);

} // namespace cardamompaddle
