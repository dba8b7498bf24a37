// JSON encoding of the messages of the worker and instance list interfaces, for clients and
// servers.
#pragma once

#include "base/result.h"
#include "platform/worker.h"

#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

// Each decode function returns InvalidArgument if the text is not a JSON object, if a member has
// the wrong type or if a required member is missing. The required members are the holder, epoch and
// stamp of a message, the TTL of a session request, the team and job of a task, the outcome of a
// finished task, the id and address of a worker, and the array of an instance list. Other missing
// members get their default values.
std::string encodeSessionRequest(const SessionRequest &request);
Result<SessionRequest> decodeSessionRequest(std::string_view json);
std::string encodeSessionGrant(const SessionGrant &grant);
Result<SessionGrant> decodeSessionGrant(std::string_view json);
std::string encodeWorkerCommand(const WorkerCommand &command);
Result<WorkerCommand> decodeWorkerCommand(std::string_view json);
std::string encodeWorkerReport(const WorkerReport &report);
Result<WorkerReport> decodeWorkerReport(std::string_view json);

std::string encodeWorkerInfo(const WorkerInfo &info);
Result<WorkerInfo> decodeWorkerInfo(std::string_view json);
// Encodes the list as {"instances": [...]}.
std::string encodeInstanceList(const std::vector<WorkerInfo> &list);
Result<std::vector<WorkerInfo>> decodeInstanceList(std::string_view json);

} // namespace cardamompaddle
