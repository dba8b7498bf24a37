// Injects random faults into the simulation of simulation_test.h and checks its oracle.
#include "membership/simulation_test.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace cardamompaddle {
namespace {

using simulation::Cell;

const std::vector<std::string> Keys = {"pool/a", "pool/b", "pool/c", "team/x", "team/y"};

struct Fault
{
    int kind = 0;
    SeatId seat = 0;
    SeatId other = 0;
    int64_t spanMs = 0; // length of a pause; also sets the loss or delay of network faults
    int64_t thenMs = 0; // time until the next fault
};

std::ostream &operator<<(std::ostream &out, const Fault &fault)
{
    return out << '{' << fault.kind << ' ' << fault.seat << ' ' << fault.other << ' '
               << fault.spanMs << ' ' << fault.thenMs << '}';
}

rc::Gen<Fault> anyFault(int32_t seats)
{
    return rc::gen::build<Fault>(
        rc::gen::set(&Fault::kind, rc::gen::inRange(0, 18)),
        rc::gen::set(&Fault::seat, rc::gen::inRange<SeatId>(0, seats)),
        rc::gen::set(&Fault::other, rc::gen::inRange<SeatId>(0, seats)),
        rc::gen::set(&Fault::spanMs, rc::gen::inRange<int64_t>(500, 9000)),
        rc::gen::set(&Fault::thenMs,
                     rc::gen::element<int64_t>(40, 400, 1500, 2500, 4000, 6000, 9000)));
}

void restart(Cell &cell, SeatId seat)
{
    cell.crash(seat);
    cell.start(seat);
}

void toggleSynced(Cell &cell, SeatId seat)
{
    if (cell.newestProcess(seat) != nullptr)
        cell.member(seat).setSynced(!cell.member(seat).heartbeat(cell.local(seat)).synced);
}

void apply(Cell &cell, const Fault &fault)
{
    using Step = void (*)(Cell &, const Fault &);
    static const std::array<Step, 18> steps = {
        [](Cell &c, const Fault &f) { c.cutLink(f.seat, f.other); },
        [](Cell &c, const Fault &f) { c.cutLink(f.seat, f.other); },
        [](Cell &c, const Fault &f) { c.isolate(f.seat); },
        [](Cell &c, const Fault &f) { c.isolate(f.seat); },
        [](Cell &c, const Fault &) { c.healNetwork(); },
        [](Cell &c, const Fault &) { c.healNetwork(); },
        [](Cell &c, const Fault &f) { c.pause(f.seat, f.spanMs); },
        [](Cell &c, const Fault &f) { c.pause(f.seat, f.spanMs); },
        [](Cell &c, const Fault &f) { c.crash(f.seat); },
        [](Cell &c, const Fault &f) { restart(c, f.seat); },
        [](Cell &c, const Fault &f) { c.startSecondProcess(f.seat); },
        [](Cell &c, const Fault &f) { c.startSecondProcess(f.seat); },
        [](Cell &c, const Fault &) { c.partitionRandomly(); },
        [](Cell &c, const Fault &) { c.partitionRandomly(); },
        [](Cell &c, const Fault &f) { c.stopCleanly(f.seat); },
        [](Cell &c, const Fault &f) { toggleSynced(c, f.seat); },
        [](Cell &c, const Fault &f) {
            c.network = {static_cast<int>(f.spanMs / 300), 10, 40};
        },
        [](Cell &c, const Fault &f) {
            c.network = {0, 20, f.spanMs / 4};
        },
    };
    steps[static_cast<size_t>(fault.kind)](cell, fault);
    cell.runFor(fault.thenMs);
}

// Ends every fault and leaves each seat with exactly one process, which is synced.
void healAll(Cell &cell, int32_t seats)
{
    cell.healNetwork();
    cell.network = {};
    for (SeatId it = 0; it < seats; ++it) {
        if (cell.newestProcess(it) == nullptr)
            cell.start(it);
        cell.endEarlierProcesses(it);
        if (cell.member(it).superseded()
            || cell.member(it).rows(cell.local(it))[static_cast<size_t>(it)].left)
            restart(cell, it);
        cell.member(it).setSynced(true);
    }
}

void checkCell(int32_t seats)
{
    const auto faults =
        *rc::gen::container<std::vector<Fault>>(rc::gen::resize(100, anyFault(seats)));
    Cell cell(seats, *rc::gen::arbitrary<uint64_t>(), Keys);
    cell.runFor(6000);
    for (const Fault &it : faults)
        apply(cell, it);
    if (cell.violation())
        RC_FAIL(*cell.violation());
    healAll(cell, seats);
    cell.runFor(25'000);
    if (cell.violation())
        RC_FAIL(*cell.violation());
    for (const std::string &key : Keys) {
        int actors = 0;
        for (SeatId it = 0; it < seats; ++it)
            actors += cell.acts(it, key) ? 1 : 0;
        RC_ASSERT(actors == 1);
    }
}

// Guards against two members acting for one key, late commands included, and against a key that no
// member acts for after all faults have ended.
RC_GTEST_PROP(MembershipPropertyTest, ThreeSeats, ())
{
    checkCell(3);
}
RC_GTEST_PROP(MembershipPropertyTest, FourSeats, ())
{
    checkCell(4);
}
RC_GTEST_PROP(MembershipPropertyTest, FiveSeats, ())
{
    checkCell(5);
}

} // namespace
} // namespace cardamompaddle
