#include "lab.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/src.hpp>

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {

namespace {

const auto Begin = std::chrono::steady_clock::now();
constexpr int64_t StoreAnswerMs = 4;
constexpr auto Detached = asio::detached;

uint64_t bigEndian(std::string_view bytes)
{
    uint64_t out = 0;
    for (const char byte : bytes)
        out = out << 8 | static_cast<uint8_t>(byte);
    return out;
}

std::string toBigEndian(uint64_t value, size_t bytes)
{
    std::string out;
    for (size_t i = bytes; i-- > 0;)
        out.push_back(static_cast<char>(value >> (8 * i)));
    return out;
}

std::string base64(std::string_view text)
{
    std::string out(beast::detail::base64::encoded_size(text.size()), '\0');
    out.resize(beast::detail::base64::encode(out.data(), text.data(), text.size()));
    return out;
}

std::string unescape(std::string_view text)
{
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out.push_back(
                static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)));
            i += 2;
        } else {
            out.push_back(text[i]);
        }
    }
    return out;
}

Request decode(http::request<http::string_body> &message)
{
    Request out;
    out.method = std::string(message.method_string());
    const auto target = message.target();
    std::string text(target.data(), target.size());
    const size_t mark = text.find('?');
    out.path = text.substr(0, mark);
    if (mark != std::string::npos) {
        std::istringstream parts(text.substr(mark + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            const size_t is = part.find('=');
            out.query[part.substr(0, is)] =
                is == std::string::npos ? "" : unescape(part.substr(is + 1));
        }
    }
    for (const auto &field : message) {
        std::string name(field.name_string().data(), field.name_string().size());
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        out.headers[name] = std::string(field.value().data(), field.value().size());
    }
    out.body = std::move(message.body());
    return out;
}

json::object parseBody(const std::string &body)
{
    boost::system::error_code ec;
    const json::value value = json::parse(body, ec);
    return !ec && value.is_object() ? value.as_object() : json::object();
}

int64_t number(const json::object &object, const char *name, int64_t missing = 0)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<int64_t>() : missing;
}

std::string text(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

int64_t queryNumber(const Request &request, const char *name, int64_t missing)
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? missing : std::stoll(it->second);
}

std::string queryText(const Request &request, const char *name)
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? "" : it->second;
}

// Key and value of a record of a keyed topic.
std::pair<std::string, std::string> splitRecord(const std::string &record)
{
    const size_t length = record.empty() ? 0 : static_cast<uint8_t>(record[0]);
    return {record.substr(1, length), record.substr(1 + length)};
}

} // namespace

int64_t nowMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::steady_clock::now() - Begin).count();
}

int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void Recorder::line(const std::string &text)
{
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f  ", static_cast<double>(nowMs()) / 1000);
    m_out << stamp << text << std::endl;
}

Task<void> sleepFor(int64_t ms)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, Ms(ms));
    co_await timer.async_wait(asio::use_awaitable);
}

// --- Server

Server::Server(asio::io_context &io, Handler handler) : m_io(io), m_handler(std::move(handler))
{
    listen();
}

std::string Server::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void Server::listen()
{
    m_acceptor = std::make_unique<tcp::acceptor>(m_io);
    m_acceptor->open(tcp::v4());
    m_acceptor->set_option(tcp::acceptor::reuse_address(true));
    m_acceptor->bind({asio::ip::address_v4::loopback(), m_port});
    m_acceptor->listen();
    m_port = m_acceptor->local_endpoint().port();
    asio::co_spawn(m_io, accept(++m_generation), Detached);
}

void Server::reset(Connection &connection)
{
    boost::system::error_code ec;
    connection.socket.set_option(asio::socket_base::linger(true, 0), ec);
    connection.socket.close(ec);
}

void Server::goDark()
{
    ++m_life;
    m_dark = true;
}

void Server::comeBack()
{
    m_dark = false;
    for (const auto &it : m_connections) {
        if (it->life != m_life && it->sentWhileDark)
            reset(*it);
    }
}

void Server::kill()
{
    ++m_life;
    ++m_generation;
    boost::system::error_code ec;
    m_acceptor->close(ec);
    for (const auto &it : m_connections)
        reset(*it);
}

Task<void> Server::accept(int generation)
{
    while (generation == m_generation) {
        boost::system::error_code ec;
        tcp::socket socket(m_io);
        co_await m_acceptor->async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        if (ec || generation != m_generation)
            co_return;
        socket.set_option(tcp::no_delay(true), ec);
        auto connection = std::make_shared<Connection>(std::move(socket));
        // A connection that is opened while the machine is dark belongs to no life.
        connection->life = m_dark ? -1 : m_life;
        m_connections.insert(connection);
        asio::co_spawn(m_io, serve(connection), Detached);
    }
}

Task<void> Server::serve(std::shared_ptr<Connection> connection)
{
    beast::flat_buffer buffer;
    boost::system::error_code ec;
    while (!ec) {
        http::request<http::string_body> message;
        http::request_parser<http::string_body> parser;
        parser.body_limit(8UL * 1024 * 1024);
        co_await http::async_read(connection->socket, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            break;
        if (connection->life != m_life) {
            connection->sentWhileDark = true;
            if (!m_dark) {
                reset(*connection);
                break;
            }
            continue;
        }
        message = parser.release();
        const auto answer = co_await m_handler(decode(message));
        // What the former life would have answered is lost with it.
        if (!answer || connection->life != m_life)
            continue;
        http::response<http::string_body> response;
        response.version(11);
        response.result(static_cast<unsigned>(answer->status));
        response.set(http::field::content_type, "application/json");
        response.body() = answer->body;
        response.prepare_payload();
        co_await http::async_write(connection->socket, response,
                                   asio::redirect_error(asio::use_awaitable, ec));
    }
    boost::system::error_code ignored;
    connection->socket.close(ignored);
    m_connections.erase(connection);
}

// --- Calls

namespace {

Task<Response> exchange(tcp::socket &socket, const std::string &address,
                        const http::request<http::string_body> &message)
{
    const size_t colon = address.find(':');
    const tcp::endpoint endpoint(asio::ip::make_address(address.substr(0, colon)),
                                 static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    boost::system::error_code ec;
    Response out;
    out.status = 0;
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec)
        co_await http::async_write(socket, message, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
        co_return out;
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    co_await http::async_read(socket, buffer, response,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
        out.status = static_cast<int>(response.result_int());
        out.body = response.body();
    }
    co_return out;
}

} // namespace

Task<Response> call(asio::io_context &io, const std::string &address, const std::string &method,
                    const std::string &path, const std::string &body,
                    const std::map<std::string, std::string> &headers, int64_t timeoutMs)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(method);
    message.target(path);
    message.set(http::field::host, address);
    for (const auto &[name, value] : headers)
        message.set(name, value);
    message.body() = body;
    message.prepare_payload();
    auto socket = std::make_shared<tcp::socket>(io);
    auto timer = std::make_shared<asio::steady_timer>(io, Ms(timeoutMs));
    timer->async_wait([socket, timer](const boost::system::error_code &ec) {
        boost::system::error_code ignored;
        if (!ec)
            socket->close(ignored);
    });
    Response out = co_await exchange(*socket, address, message);
    timer->cancel();
    co_return out;
}

Task<Response> Client::send(const std::string &address, const std::string &method,
                            const std::string &id, const std::string &body, int64_t timeoutMs)
{
    m_record.line(
        "client  " + method + " " + id + " to " + address
        + (body.empty() ? "" : " " + (body.size() > 300 ? body.substr(0, 300) + "..." : body)));
    std::map<std::string, std::string> headers = {
        {"Host", m_host},
        {"Authorization", "Bearer " + m_key},
        {"Content-Type", "application/json"},
        {"Cardamompaddle-Deadline-Milliseconds", "3000"},
    };
    const Response out =
        co_await call(m_io, address, method, m_prefix + id, body, headers, timeoutMs);
    m_record.line("client  " + method + " " + id + " -> "
                  + (out.status == 0 ? "no answer" : std::to_string(out.status)) + " " + out.body);
    co_return out;
}

// --- Log

LogStore::LogStore(asio::io_context &io, Recorder &record) : m_io(io), m_record(record)
{
    m_server =
        std::make_unique<Server>(io, [this](const Request &request) { return handle(request); });
}

void LogStore::put(const std::string &topic, const std::string &key, const std::string &value)
{
    m_topics[topic].records.push_back(std::string(1, static_cast<char>(key.size())) + key + value);
}

Task<std::optional<Response>> LogStore::handle(const Request &received)
{
    const Request request = received;
    co_await sleepFor(StoreAnswerMs);
    if (silent)
        co_return std::nullopt;
    if (request.path == "/cardamompaddle/log-append")
        co_return co_await append(request);
    if (request.path == "/cardamompaddle/log-read")
        co_return co_await read(request);
    if (request.path == "/cardamompaddle/log-newest")
        co_return newest(request);
    co_return Response{404, "{}"};
}

Task<std::optional<Response>> LogStore::append(const Request &request)
{
    std::vector<std::string> records;
    std::vector<std::string> keys;
    std::string_view left = request.body;
    constexpr size_t MaxRecordBytes = 262'144;
    constexpr size_t MaxCallBytes = 2'097'152;
    while (left.size() >= 4) {
        const size_t length = bigEndian(left.substr(0, 4));
        if (length > MaxRecordBytes || left.size() < 4 + length)
            co_return Response{400, "{}"};
        records.emplace_back(left.substr(4, length));
        keys.push_back(splitRecord(records.back()).first);
        left.remove_prefix(4 + length);
    }
    if (request.body.size() > MaxCallBytes)
        co_return Response{400, "{}"};
    const std::string topic = queryText(request, "Topic");
    const Fate fate = fateOf ? fateOf(topic, keys) : Fate{};
    if (fate.lateMs >= 0) {
        asio::co_spawn(
            m_io,
            [this, request, records, keys, late = fate.lateMs]() -> Task<void> {
                co_await sleepFor(late);
                const Response response = carryOut(request, records);
                m_record.line("store   carries out late: append of " + keys.front() + " -> "
                              + std::to_string(response.status));
            },
            Detached);
        if (!fate.answered)
            co_return std::nullopt;
    }
    Response response = carryOut(request, records);
    if (!fate.answered)
        co_return std::nullopt;
    co_return response;
}

Response LogStore::carryOut(const Request &request, const std::vector<std::string> &records)
{
    Topic &topic = m_topics[queryText(request, "Topic")];
    const auto end = static_cast<int64_t>(topic.records.size());
    const std::string name = queryText(request, "Producer");
    Producer *producer = name.empty() ? nullptr : &topic.producers[name];
    const int64_t epoch = queryNumber(request, "epoch", 0);
    const int64_t sequence = queryNumber(request, "Sequence", 0);
    if (producer != nullptr) {
        if (epoch < producer->epoch)
            return {409, "{\"Reason\":\"fenced\"}"};
        if (epoch == producer->epoch) {
            for (const auto &[number, response] : producer->last) {
                if (number == sequence)
                    return {200, response};
            }
            if (sequence != producer->next)
                return {409,
                        "{\"Reason\":\"seq\",\"Sequence\":" + std::to_string(producer->next) + "}"};
        }
    }
    const int64_t at = queryNumber(request, "At", -1);
    if (at >= 0 && at != end)
        return {412, "{\"EndOffset\":" + std::to_string(end) + "}"};
    topic.records.insert(topic.records.end(), records.begin(), records.end());
    const std::string body = "{\"Offset\":" + std::to_string(end)
                             + ",\"EndOffset\":" + std::to_string(topic.records.size()) + "}";
    if (producer != nullptr) {
        if (epoch > producer->epoch)
            producer->last.clear();
        producer->epoch = epoch;
        producer->next = sequence + 1;
        producer->last.emplace_back(sequence, body);
        if (producer->last.size() > 5)
            producer->last.pop_front();
    }
    return {200, body};
}

Task<std::optional<Response>> LogStore::read(const Request &request)
{
    Topic &topic = m_topics[queryText(request, "Topic")];
    const auto from = static_cast<size_t>(queryNumber(request, "From", 0));
    const size_t most = static_cast<size_t>(queryNumber(request, "MaxKilobytes", 1'024)) * 1'024;
    const int64_t until = nowMs() + queryNumber(request, "WaitMs", 0);
    while (topic.records.size() <= from && nowMs() < until) {
        co_await sleepFor(4);
        if (silent)
            co_return std::nullopt;
    }
    std::string body = toBigEndian(topic.records.size(), 8) + toBigEndian(0, 8);
    for (size_t i = from; i < topic.records.size() && body.size() < most; ++i)
        body += toBigEndian(topic.records[i].size(), 4) + topic.records[i];
    co_return Response{200, body};
}

Response LogStore::newest(const Request &request)
{
    const auto found = m_topics.find(queryText(request, "Topic"));
    if (found == m_topics.end())
        return {404, "{}"};
    std::map<std::string, std::pair<std::string, size_t>> items;
    const std::vector<std::string> &records = found->second.records;
    for (size_t i = 0; i < records.size(); ++i) {
        auto [key, value] = splitRecord(records[i]);
        if (value.empty())
            items.erase(key);
        else
            items[key] = {value, i};
    }
    json::array rows;
    bool more = false;
    size_t bytes = 0;
    const std::string after = queryText(request, "After");
    for (auto it = after.empty() ? items.begin() : items.upper_bound(after); it != items.end();
         ++it) {
        if (rows.size() == 500 || bytes > 1'000'000) {
            more = true;
            break;
        }
        const std::string value = base64(it->second.first);
        bytes += value.size();
        rows.push_back(
            json::object{{"Key", it->first}, {"Value", value}, {"Offset", it->second.second}});
    }
    json::object body{{"items", std::move(rows)}, {"EndOffset", records.size()}};
    if (more)
        body["HasMore"] = true;
    return {200, json::serialize(body)};
}

// --- Worker

Worker::Worker(asio::io_context &io, Recorder &record, LogStore &log, Options options,
               WorkTime workTime, std::vector<std::shared_ptr<RunEvent>> &events)
    : m_io(io), m_record(record), m_log(log), m_options(std::move(options)),
      m_workTime(std::move(workTime)), m_events(events), m_bootAt(nowMs() - 100'000),
      m_born(unixMs())
{
    m_server =
        std::make_unique<Server>(io, [this](const Request &request) { return handle(request); });
    registerEntry();
    asio::co_spawn(io, heartbeat(), Detached);
    asio::co_spawn(io, advance(m_life), Detached);
}

void Worker::registerEntry()
{
    json::array labels(m_options.labels.begin(), m_options.labels.end());
    const json::object entry{
        {"Service", m_options.service},
        {"Address", m_server->address()},
        {"Zone", m_options.zone},
        {"Version", "1"},
        {"Slots", 8},
        {"State", "ready"},
        {"ColdRemainingMs", 0},
        {"Sequence", ++m_sequence},
        {"Capacity", json::object{{"Cpu", m_options.cpu}, {"MemoryRequestMb", m_options.memoryMb}}},
        {"Labels", std::move(labels)},
        {"born", m_born}};
    m_log.put("keyed.servers", m_options.id, json::serialize(entry));
}

Task<void> Worker::heartbeat()
{
    while (true) {
        co_await sleepFor(Bounds{}.heartbeatMs);
        if (m_up && !m_log.silent)
            registerEntry();
    }
}

void Worker::crash(bool dark)
{
    m_record.line("worker  " + lifeName() + (dark ? " loses power" : " is killed") + ", running "
                  + std::to_string(m_runs.size()));
    m_up = false;
    dark ? m_server->goDark() : m_server->kill();
    for (auto &[task, run] : m_runs) {
        run.event->endedAt = nowMs();
        run.event->how = "crashed";
    }
    m_runs.clear();
    m_runNumbers.clear();
    m_spent.clear();
    m_ends.clear();
    m_fence = m_leaseUntil = 0;
    m_nextEnd = 1;
    ++m_life;
}

void Worker::restart(const std::string &newId)
{
    const bool wasDark = newId.empty();
    if (!newId.empty()) {
        // The entry of the former id goes after three intervals of silence.
        asio::co_spawn(
            m_io,
            [this, id = m_options.id]() -> Task<void> {
                co_await sleepFor(3 * Bounds{}.heartbeatMs);
                m_log.put("keyed.servers", id, "");
            },
            Detached);
        m_options.id = newId;
    }
    m_up = true;
    m_bootAt = nowMs();
    m_born = unixMs();
    m_sequence = 0;
    wasDark ? m_server->comeBack() : m_server->listen();
    m_record.line("worker  " + lifeName() + " starts, born " + std::to_string(m_born));
    registerEntry();
    asio::co_spawn(m_io, advance(m_life), Detached);
}

Task<void> Worker::advance(int life)
{
    while (m_up && life == m_life) {
        const int64_t now = nowMs();
        std::vector<std::pair<std::string, std::string>> ended;
        if (clock() > m_leaseUntil) {
            for (const End &it : m_ends)
                it.event->lapsedBefore = true;
        }
        for (const auto &[task, run] : m_runs) {
            if (clock() > m_leaseUntil)
                ended.emplace_back(task, "lapsed");
            else if (run.stopAt >= 0 && now >= run.stopAt)
                ended.emplace_back(task, "stopped");
            else if (run.workMs >= 0 && now - run.startedAt >= run.workMs)
                ended.emplace_back(task, "done");
        }
        for (const auto &[task, how] : ended)
            end(task, how);
        co_await sleepFor(4);
    }
}

void Worker::end(const std::string &task, const std::string &how)
{
    const auto node = m_runs.extract(task);
    const int64_t number = m_runNumbers[task];
    m_runNumbers.erase(task);
    m_spent[task] = std::max(m_spent[task], number);
    const auto event = node.mapped().event;
    event->endedAt = nowMs();
    event->how = how;
    m_ends.push_back({m_nextEnd++, task, number, how, event});
    m_record.line("worker  " + lifeName() + " end " + std::to_string(m_ends.back().position) + ": "
                  + task + " run " + std::to_string(number) + " " + how);
}

Response Worker::refuse(const std::string &why) const
{
    return {409,
            json::serialize(json::object{{"ClockMs", clock()}, {"Reason", why}, {"born", m_born}})};
}

void Worker::extend(const json::object &body)
{
    const int64_t until = number(body, "UntilMs");
    if (until > 0)
        m_leaseUntil = std::max(m_leaseUntil, std::min(until, clock() + Bounds{}.maxHoldMs));
}

Task<std::optional<Response>> Worker::handle(const Request &request)
{
    const json::object body = parseBody(request.body);
    const auto expected = request.headers.find("cardamompaddle-expected-instance");
    if (expected != request.headers.end() && expected->second != m_options.id)
        co_return Response{421,
                           json::serialize(json::object{{"ClockMs", clock()}, {"born", m_born}})};
    const int64_t fence = number(body, "FencingToken");
    if (fence < m_fence)
        co_return refuse("fence");
    m_fence = fence;
    if (request.path == "/cardamompaddle/hold")
        co_return co_await hold(body);
    if (request.path == "/cardamompaddle/run-start")
        co_return start(body);
    if (request.path == "/cardamompaddle/run-stop")
        co_return stop(body);
    if (request.path == "/cardamompaddle/pace")
        co_return Response{200,
                           json::serialize(json::object{{"ClockMs", clock()}, {"born", m_born}})};
    co_return Response{404, "{}"};
}

Response Worker::start(const json::object &body)
{
    const std::string task = text(body, "Task");
    const int64_t run = number(body, "Run");
    extend(body);
    const Response ok{200, json::serialize(json::object{{"ClockMs", clock()}, {"born", m_born}})};
    if (const auto it = m_runNumbers.find(task); it != m_runNumbers.end() && it->second == run)
        return ok;
    const auto spent = m_spent.find(task);
    if ((spent != m_spent.end() && run <= spent->second) || m_runNumbers.contains(task))
        return refuse("old");
    if (number(body, "UntilMs") <= clock())
        return refuse("late");
    auto event = std::make_shared<RunEvent>();
    event->at = nowMs();
    event->task = task;
    event->run = run;
    event->worker = lifeName();
    m_events.push_back(event);
    m_runNumbers[task] = run;
    m_runs[task] = {nowMs(), m_workTime(task), -1, event};
    m_record.line("worker  " + lifeName() + " start " + task + " run " + std::to_string(run)
                  + " fence " + std::to_string(m_fence) + " lease "
                  + std::to_string(m_leaseUntil - clock()) + " ms");
    if (onStart)
        onStart(task, run);
    return ok;
}

Response Worker::stop(const json::object &body)
{
    const std::string task = text(body, "Task");
    const int64_t run = number(body, "Run");
    m_record.line("worker  " + lifeName() + " stop " + task + " run " + std::to_string(run));
    const auto it = m_runNumbers.find(task);
    if (it != m_runNumbers.end() && it->second == run) {
        Run &running = m_runs[task];
        if (running.stopAt < 0)
            running.stopAt = nowMs() + Bounds{}.stopMs;
    } else {
        m_spent[task] = std::max(m_spent[task], run);
    }
    return {200, json::serialize(json::object{{"ClockMs", clock()}, {"born", m_born}})};
}

Task<std::optional<Response>> Worker::hold(const json::object &body)
{
    extend(body);
    const int64_t ack = number(body, "AckPosition");
    const int64_t waitMs = number(body, "WaitMs");
    const int life = m_life;
    size_t forgotten = 0;
    while (!m_ends.empty() && m_ends.front().position <= ack) {
        m_ends.front().event->notedAt = nowMs();
        m_ends.pop_front();
        ++forgotten;
    }
    if (forgotten > 0)
        m_record.line("worker  " + lifeName() + " hold with AckPosition " + std::to_string(ack)
                      + ", forgets " + std::to_string(forgotten) + " ends");
    if (onHold)
        onHold(waitMs, ack);
    const int64_t until = nowMs() + waitMs;
    while (m_ends.empty() && nowMs() < until && life == m_life)
        co_await sleepFor(4);
    if (life != m_life)
        co_return std::nullopt;
    const size_t listed = std::min<size_t>(m_ends.size(), 500);
    if (m_ends.size() > listed)
        m_record.line("worker  " + lifeName() + " lists " + std::to_string(listed) + " of "
                      + std::to_string(m_ends.size()) + " ends");
    co_return report();
}

Response Worker::report() const
{
    json::array running;
    for (const auto &[task, run] : m_runs) {
        const int64_t ran = nowMs() - run.startedAt;
        const int64_t percent =
            run.workMs < 0 ? (ran > 400 ? 100 : 0) : std::min<int64_t>(99, ran * 100 / run.workMs);
        running.push_back(json::array{task, m_runNumbers.at(task), "", percent, 0});
    }
    json::array ended;
    for (const End &it : m_ends) {
        if (ended.size() == 500)
            break;
        ended.push_back(json::array{it.position, it.task, it.run, it.how, ""});
    }
    json::object out{{"ClockMs", clock()}, {"born", m_born}};
    if (!running.empty())
        out["Running"] = std::move(running);
    if (!ended.empty())
        out["Ended"] = std::move(ended);
    return {200, json::serialize(out)};
}

// --- Entries

std::string freeAddress()
{
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

Entries::Entries(asio::io_context &io, Recorder &record, const std::string &logAddress, int count,
                 const std::string &folder, const std::map<std::string, std::string> &overrides)
    : m_io(io), m_record(record)
{
    const auto setting = [&overrides](const std::string &name, const std::string &usual) {
        const auto it = overrides.find(name);
        return it == overrides.end() ? usual : it->second;
    };
    for (int i = 0; i < count; ++i) {
        Entry entry;
        entry.name = "front-" + std::to_string(i + 1);
        entry.callers = freeAddress();
        entry.readiness = freeAddress();
        entry.settings = folder + "/" + entry.name + ".json";
        entry.output = folder + "/" + entry.name + ".log";
        const std::string peer = freeAddress();
        const std::string nobody = freeAddress();
        std::ofstream(entry.settings)
            << "{\"instance\": \"" << entry.name << "\", \"availability_zone\": \"zone-" << i + 1
            << "\", \"ip\": \"127.0.0.1\",\n \"listen\": {\"callers\": \"" << entry.callers
            << "\", \"readiness\": \"" << entry.readiness
            << "\", \"peer_port\": " << peer.substr(peer.find(':') + 1) << "},\n \"log\": \""
            << logAddress << "\", \"policy_service\": \"" << nobody
            << "\",\n \"processor\": {\"share\": 0.25, \"cores\": 1},\n"
            << " \"workers\": {\"max_lease_ms\": 10000, \"remote_factor\": 2},\n \"keep_final_s\": "
            << setting("keep_final_s", "120") << ", \"stop_grace_s\": 6}\n";
        m_entries.push_back(entry);
        start(static_cast<size_t>(i));
    }
}

void Entries::start(size_t i)
{
    Entry &entry = m_entries[i];
    const std::string option = "--settings=" + entry.settings;
    entry.pid = ::fork();
    if (entry.pid == 0) {
        const int out = ::open(entry.output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        for (int fd = 3; fd < 1024; ++fd)
            ::close(fd);
        ::execl("target/platform/cardamompaddle-entry", "cardamompaddle-entry", option.c_str(),
                nullptr);
        ::_exit(127);
    }
    m_record.line("entry   " + entry.name + " started, callers at " + entry.callers);
}

Entries::~Entries()
{
    for (Entry &entry : m_entries) {
        if (entry.pid > 0) {
            ::kill(entry.pid, SIGCONT);
            ::kill(entry.pid, SIGKILL);
            ::waitpid(entry.pid, nullptr, 0);
        }
    }
}

void Entries::signal(size_t i, int number)
{
    m_record.line("entry   " + m_entries[i].name + " gets signal " + std::to_string(number));
    ::kill(m_entries[i].pid, number);
    if (number == SIGKILL) {
        ::waitpid(m_entries[i].pid, nullptr, 0);
        m_entries[i].pid = -1;
    }
}

bool Entries::isAlive(size_t i)
{
    Entry &entry = m_entries[i];
    if (entry.pid > 0 && ::waitpid(entry.pid, nullptr, WNOHANG) == entry.pid)
        entry.pid = -1;
    return entry.pid > 0;
}

Task<bool> Entries::awaitReady()
{
    const int64_t until = nowMs() + 15'000;
    for (const Entry &entry : m_entries) {
        while (true) {
            const Response answer = co_await call(m_io, entry.readiness, "GET",
                                                  "/cardamompaddle/readiness", "", {}, 500);
            if (answer.status == 200)
                break;
            if (nowMs() > until)
                co_return false;
            co_await sleepFor(50);
        }
    }
    m_record.line("entry   all instances are ready");
    co_return true;
}

// --- Checks

std::vector<std::string> checkTwice(const std::vector<std::shared_ptr<RunEvent>> &events)
{
    std::vector<std::string> out;
    const auto name = [](const RunEvent &it) {
        return it.task + " run " + std::to_string(it.run) + " on " + it.worker + " at "
               + std::to_string(it.at) + " ms";
    };
    for (const auto &later : events) {
        for (const auto &earlier : events) {
            if (earlier == later || earlier->task != later->task || earlier->at > later->at)
                continue;
            const bool ended = earlier->endedAt >= 0 && earlier->endedAt <= later->at;
            if (!ended)
                out.push_back("two runs at the same time: " + name(*earlier) + ", " + name(*later));
            else if (earlier->how == "done" && earlier->notedAt >= 0 && !earlier->lapsedBefore)
                out.push_back("a start after an end `done` that is taken note of (" + name(*earlier)
                              + ", done at " + std::to_string(earlier->endedAt) + " ms, noted at "
                              + std::to_string(earlier->notedAt) + " ms): " + name(*later));
        }
    }
    return out;
}

int runCase(const std::string &folder, const Scenario &scenario)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::string temporary = (std::getenv("TMPDIR") != nullptr ? std::getenv("TMPDIR") : "/tmp")
                            + std::string("/review-XXXXXX");
    if (::mkdtemp(temporary.data()) == nullptr)
        return 2;
    const char *trouble = std::getenv("TROUBLE");
    asio::io_context io(1);
    Recorder record(folder + "/record.txt");
    Case it{io, record, trouble == nullptr || std::string(trouble) != "0", temporary};
    record.line(it.trouble ? "case    with the disruption"
                           : "case    without the disruption (TROUBLE=0)");
    std::optional<std::vector<std::string>> breaks;
    bool failed = false;
    asio::co_spawn(
        io, [&]() -> Task<void> { breaks = co_await scenario(it); },
        [&](std::exception_ptr error) {
            failed = error != nullptr;
            io.stop();
        });
    asio::steady_timer limit(io, std::chrono::seconds(116));
    limit.async_wait([&](const boost::system::error_code &ec) {
        if (!ec)
            io.stop();
    });
    io.run();
    if (failed || !breaks) {
        record.line("result  the case could not run");
        std::printf("the case could not run\n");
        return 2;
    }
    for (const std::string &text : *breaks) {
        record.line("broken  " + text);
        std::printf("broken: %s\n", text.c_str());
    }
    record.line("result  "
                + std::string(breaks->empty() ? "the rule held" : "the rule was broken"));
    std::printf("%s\n", breaks->empty() ? "the rule held" : "the rule was broken");
    return breaks->empty() ? 0 : 1;
}

std::string manifest(int64_t version, int attempts)
{
    return json::serialize(json::object{
        {"Version", version},
        {"Routes", json::array{json::object{{"Name", "runs"},
                                            {"Host", "runs.example"},
                                            {"PathPrefix", "/runs/"},
                                            {"Service", "billing"},
                                            {"Kind", "unsafe"},
                                            {"Priority", 0},
                                            {"MaxAttempts", attempts},
                                            {"Stretch", 2.2},
                                            {"TimeoutMs", 3000},
                                            {"TargetLatencyMs", 1200}}}},
        {"Services", json::array{json::object{{"Name", "billing"}, {"AdmissionCheck", false}}}},
        {"Tenants", json::array{json::object{
                        {"Name", "one"}, {"ApiKeys", json::array{"key-one"}}, {"Weight", 100}}}},
        {"Limits", json::object{}}});
}

} // namespace lab
