#include "work/codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace cardamompaddle {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

template <typename T>
std::string encodeRecord(const T &value)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

template <typename T>
Result<T> decodeRecord(std::string_view bytes)
{
    // TMemoryBuffer takes a mutable pointer, but as an observer it only reads the bytes.
    auto *data = reinterpret_cast<uint8_t *>(const_cast<char *>(bytes.data()));
    const auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<uint32_t>(bytes.size()));
    // The limits on strings and containers keep a malformed length from causing a large allocation.
    const auto limit = static_cast<int32_t>(bytes.size());
    TCompactProtocolT<TMemoryBuffer> protocol(buffer, limit, limit);
    T value;
    try {
        value.read(&protocol);
    } catch (const std::exception &error) {
        return Error{ErrorCode::InvalidArgument, std::string("malformed record: ") + error.what()};
    }
    return value;
}

#define CP_RECORD(Type) \
    template std::string encodeRecord(const work::Type &); \
    template Result<work::Type> decodeRecord(std::string_view);
CP_RECORD(Submission)
CP_RECORD(AdvanceCancellation)
CP_RECORD(Progress)
CP_RECORD(Tenure)
CP_RECORD(Member)
CP_RECORD(ApprovalRequest)
CP_RECORD(ApprovalAnswer)
CP_RECORD(UsedWorker)
CP_RECORD(Usage)
CP_RECORD(StoredRecords)
CP_RECORD(WorkerCalls)
CP_RECORD(WorkerAnswers)
CP_RECORD(WorkerCallsReceived)
CP_RECORD(CallerRequest)
CP_RECORD(CallerResponse)
#undef CP_RECORD

} // namespace cardamompaddle
