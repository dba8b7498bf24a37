// Tests of the peer transport over real connections: outcomes of lost, late and blocked messages.
#include "net/peer_transport.h"

#include "net/steady_clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace cardamompaddle {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

class PeerTransportTest : public testing::Test
{
protected:
    using Outcome = std::optional<Result<PeerBody>>;

    PeerTransportTest()
    {
        for (SeatId seat : {0, 1})
            m_seats[seat] = open(seat);
        connectSeats();
    }

    std::unique_ptr<AsioPeerTransport> open(SeatId self, const std::string &listen = "127.0.0.1:0")
    {
        PeerTransportOptions options{self, {"127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1"}, listen};
        options.maxQueuedBytes = 4UL * 1024 * 1024;
        return std::move(*AsioPeerTransport::create(m_io, options, m_clock));
    }
    void connectSeats()
    {
        m_seats[0]->setSeatAddress(1, address(*m_seats[1]));
        m_seats[1]->setSeatAddress(0, address(*m_seats[0]));
    }
    static std::string address(const AsioPeerTransport &transport)
    {
        return "127.0.0.1:" + std::to_string(transport.port());
    }
    // Responds to each RowsRequest with its view. If the view starts with "keep", the Respond is
    // stored in `m_kept` instead.
    void serve(int seat)
    {
        m_seats[seat]->setHandler(
            [this](SeatId, PeerBody body, const PeerTransport::Respond &respond, Instant) {
                ++m_served;
                const auto *rows = std::get_if<RowsRequest>(&body);
                if (!rows)
                    return respond(HeartbeatMessage());
                if (rows->view.starts_with("keep"))
                    m_kept.emplace_back(rows->view, respond);
                else
                    respond(RowsAnswer{rows->view});
            });
    }
    void ask(int seat, const std::string &view, Outcome &outcome,
             Duration timeout = Duration(2'000))
    {
        m_seats[seat]->request(1 - seat, RowsRequest{view}, timeout,
                               [&outcome](Result<PeerBody> response, Instant) {
                                   EXPECT_FALSE(outcome.has_value()) << "answered twice";
                                   outcome = std::move(response);
                               });
        EXPECT_FALSE(outcome.has_value()) << "the callback must not run inside the call";
    }
    void runUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + Duration(8'000);
        while (!condition() && std::chrono::steady_clock::now() < end)
            m_io.run_one_for(Duration(10));
        EXPECT_TRUE(condition());
    }
    static std::string rowsOf(const Outcome &outcome)
    {
        return outcome && outcome->ok() ? std::get<RowsAnswer>(outcome->value()).json : "none";
    }
    static ErrorCode codeOf(const Outcome &outcome) { return outcome->error().code; }

    asio::io_context m_io;
    SteadyClock m_clock;
    std::unique_ptr<AsioPeerTransport> m_seats[2];
    std::vector<std::pair<std::string, PeerTransport::Respond>> m_kept;
    int m_served = 0;
};

// Guards against passing a response that arrives out of order to the wrong request (invariant I6).
TEST_F(PeerTransportTest, MatchesReorderedResponses)
{
    serve(1);
    std::vector<Outcome> outcomes(20);
    for (int i = 0; i < 20; ++i)
        ask(0, "keep" + std::to_string(i), outcomes[i]);
    runUntil([&] { return m_kept.size() == 20; });
    for (int i = 19; i >= 0; --i)
        m_kept[i].second(RowsAnswer{m_kept[i].first});
    runUntil(
        [&] { return std::all_of(outcomes.begin(), outcomes.end(), [](auto &it) { return it; }); });
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(rowsOf(outcomes[i]), "keep" + std::to_string(i));
}

// Guards against taking a response that arrives after the timeout for the response to a later
// request.
TEST_F(PeerTransportTest, DropsLateResponses)
{
    serve(1);
    Outcome first;
    ask(0, "keep", first, Duration(50));
    runUntil([&] { return first.has_value(); });
    EXPECT_EQ(codeOf(first), ErrorCode::OutcomeUnknown);
    Outcome second;
    ask(0, "now", second);
    m_kept.at(0).second(RowsAnswer{"late"});
    runUntil([&] { return second && m_seats[0]->stats().lateResponses == 1; });
    EXPECT_EQ(rowsOf(second), "now");
}

// Guards against a wrong outcome when an instance stops: OutcomeUnknown for a request in flight,
// Unavailable for one that could not be sent. Also guards against failing to reconnect after the
// instance has restarted.
TEST_F(PeerTransportTest, ReportsLostConnectionsAndReconnects)
{
    serve(1);
    Outcome inFlight;
    ask(0, "keep", inFlight, Duration(5'000));
    runUntil([&] { return m_kept.size() == 1; });
    const std::string restartAddress = address(*m_seats[1]);
    m_seats[1].reset();
    runUntil([&] { return inFlight.has_value(); });
    EXPECT_EQ(codeOf(inFlight), ErrorCode::OutcomeUnknown);
    Outcome unsent;
    ask(0, "x", unsent);
    runUntil([&] { return unsent.has_value(); });
    EXPECT_EQ(codeOf(unsent), ErrorCode::Unavailable);
    m_kept.at(0).second(RowsAnswer{"from the dead"}); // must do nothing

    m_seats[1] = open(1, restartAddress);
    serve(1);
    Outcome again;
    ask(0, "back", again);
    runUntil([&] { return again.has_value(); });
    EXPECT_EQ(rowsOf(again), "back");
}

// Guards against heartbeats that are delayed by a long queue, and against an unbounded queue.
TEST_F(PeerTransportTest, HeartbeatsOvertakeAFullQueue)
{
    serve(1);
    std::vector<Outcome> bulk(40);
    for (Outcome &it : bulk)
        ask(0, std::string(256UL * 1024, 'x'), it, Duration(20'000));
    bool responded = false;
    int finishedBefore = 0;
    m_seats[0]->request(1, HeartbeatMessage(), Duration(20'000),
                        [&](const Result<PeerBody> &response, Instant) {
                            responded = response.ok();
                            for (const Outcome &it : bulk)
                                finishedBefore += it && it->ok() ? 1 : 0;
                        });
    runUntil([&] { return responded; });
    EXPECT_LT(finishedBefore, 4);
    runUntil([&] { return std::all_of(bulk.begin(), bulk.end(), [](auto &it) { return it; }); });
    const auto refused =
        std::count_if(bulk.begin(), bulk.end(), [](auto &it) { return !it->ok(); });
    EXPECT_GT(refused, 10);
    EXPECT_EQ(m_seats[0]->stats().queueRejections, static_cast<uint64_t>(refused));
    EXPECT_EQ(m_served, 41 - refused);
}

// Guards against setBlocked() dropping messages in the wrong direction. Tests of one-way partitions
// rely on it.
TEST_F(PeerTransportTest, BlocksEachDirectionSeparately)
{
    serve(0);
    serve(1);
    const auto askBoth = [&](Outcome &toOne, Outcome &toZero) {
        ask(0, "to 1", toOne, Duration(100));
        ask(1, "to 0", toZero, Duration(100));
        runUntil([&] { return toOne && toZero; });
    };
    Outcome a, b, c, d, e, f;
    m_seats[0]->setBlocked(1, false, true); // neither requests nor responses leave seat 0
    askBoth(a, b);
    EXPECT_EQ(m_served, 1);
    EXPECT_EQ(codeOf(a), ErrorCode::OutcomeUnknown);
    EXPECT_EQ(codeOf(b), ErrorCode::OutcomeUnknown);
    m_seats[0]->setBlocked(1, true, false); // neither requests nor responses reach seat 0
    askBoth(c, d);
    EXPECT_EQ(m_served, 2);
    EXPECT_EQ(codeOf(c), ErrorCode::OutcomeUnknown);
    EXPECT_EQ(codeOf(d), ErrorCode::OutcomeUnknown);
    m_seats[0]->setBlocked(1, false, false);
    askBoth(e, f);
    EXPECT_EQ(rowsOf(e), "to 1");
    EXPECT_EQ(rowsOf(f), "to 0");
}

// Guards against keeping a connection that stays silent after a partition although the peer can be
// reached again. The peer in this test accepts connections and never responds.
TEST_F(PeerTransportTest, ReopensSilentConnections)
{
    tcp::acceptor silent(m_io, {asio::ip::make_address("127.0.0.1"), 0});
    std::vector<tcp::socket> accepted;
    std::function<void()> accept = [&] {
        silent.async_accept([&](boost::system::error_code ec, tcp::socket socket) {
            if (ec)
                return;
            accepted.push_back(std::move(socket));
            accept();
        });
    };
    accept();
    m_seats[0]->setSeatAddress(1, "127.0.0.1:" + std::to_string(silent.local_endpoint().port()));
    while (accepted.size() < 2 && !testing::Test::HasFailure()) {
        Outcome outcome;
        ask(0, "x", outcome, Duration(400));
        runUntil([&] { return outcome.has_value(); });
        EXPECT_EQ(codeOf(outcome), ErrorCode::OutcomeUnknown);
        ASSERT_LE(m_seats[0]->stats().connectAttempts, 2U);
    }
}

// Guards against passing a foreign or corrupted frame to the handler.
TEST_F(PeerTransportTest, ClosesConnectionsWithInvalidFrames)
{
    serve(1);
    for (const std::string &bytes :
         {std::string("\0\0\0\x0cgarbled frame", 16), std::string("\xff\xff\xff\xff", 4)}) {
        tcp::socket socket(m_io);
        socket.connect({asio::ip::make_address("127.0.0.1"), m_seats[1]->port()});
        asio::write(socket, asio::buffer(bytes));
        bool closed = false;
        char byte = 0;
        socket.async_read_some(asio::buffer(&byte, 1),
                               [&](boost::system::error_code ec, size_t) { closed = ec.failed(); });
        runUntil([&] { return closed; });
    }
    EXPECT_EQ(m_served, 0);
    EXPECT_EQ(m_seats[1]->stats().invalidFrames, 1U);
}

// Guards against losing a request that arrives before a handler is set, or one to a seat that does
// not exist.
TEST_F(PeerTransportTest, RejectsEarlyRequestsAndUnknownSeats)
{
    Outcome early;
    ask(0, "x", early);
    runUntil([&] { return early.has_value(); });
    ASSERT_TRUE(early->ok());
    EXPECT_EQ(std::get<Refusal>(early->value()).error.code, ErrorCode::Unavailable);
    for (const SeatId seat : {0, 3, -1}) {
        Outcome nobody;
        m_seats[0]->request(
            seat, RowsRequest{}, Duration(100),
            [&](Result<PeerBody> response, Instant) { nobody = std::move(response); });
        runUntil([&] { return nobody.has_value(); });
        EXPECT_EQ(codeOf(nobody), ErrorCode::Unavailable);
    }
}

} // namespace
} // namespace cardamompaddle
