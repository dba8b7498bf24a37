// Test helpers: small tables, keys and random configuration logs.
#pragma once

#include "base/invariant.h"
#include "config/config_state.h"
#include "config/keys.h"

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace cardamompaddle {

// Tables with teams "a" and "b", of which "a" has the given share.
inline Tables smallTables(int32_t share)
{
    Tables tables;
    tables.teams["a"] = TeamSpec{"a", share, 10};
    tables.teams["b"] = TeamSpec{"b", 1, 10};
    return tables;
}

// A key whose random bytes all equal `number`, so that equal numbers give equal keys.
inline NewKey testKey(uint8_t number, const std::string &team = "a")
{
    std::vector<uint8_t> random(KeyRandomBytes, number);
    return *createKey(team, random);
}

// During its lifetime, violated invariants throw std::logic_error with the rule as message.
class ThrowingInvariants
{
public:
    ThrowingInvariants()
        : m_previous(setInvariantHandler([](std::string_view rule, std::string_view) {
              throw std::logic_error(std::string(rule));
          }))
    { }
    ~ThrowingInvariants() { setInvariantHandler(m_previous); }
    ThrowingInvariants(const ThrowingInvariants &) = delete;
    ThrowingInvariants &operator=(const ThrowingInvariants &) = delete;

private:
    InvariantHandler m_previous;
};

// A log of random records: concurrent changes, copies, truncated records, and snapshots that are
// appended some records after they were taken.
class RandomLog
{
public:
    std::vector<LogRecord> records;
    ConfigState state; // after all records
    std::map<uint64_t, uint64_t> snapshots; // next() of the snapshot's state, by record offset

    // Starts with small tables and adds a record, or takes a snapshot, for each choice.
    explicit RandomLog(const std::vector<uint16_t> &choices)
    {
        add(tablesRecord(nextId(1), 0, smallTables(1)));
        for (const uint16_t it : choices)
            addChoice(it % 10, it / 10);
    }

    // Appends a record and applies it to `state`.
    ApplyOutcome add(const std::string &text)
    {
        records.push_back({records.size(), text});
        return state.apply(records.back());
    }

private:
    RecordId nextId(uint64_t writer) { return {writer, ++m_seqs[writer]}; }

    void addChoice(int kind, uint16_t choice)
    {
        const RecordId id = nextId(1 + choice % 3);
        const auto number = static_cast<uint8_t>(choice % 7);
        switch (kind) {
        case 0: // every second change has an outdated base version
            add(tablesRecord(id, state.version() - choice % 2, smallTables(1 + choice % 5)));
            break;
        case 1:
            add(keyCreateRecord(id, testKey(number, choice % 2 == 0 ? "a" : "b").record));
            break;
        case 2:
            add(keyWithdrawRecord(id, testKey(number).record.id));
            break;
        case 3:
        case 4:
            add(zoneRecord(id, "z" + std::to_string(choice % 4), kind == 3));
            break;
        case 5:
        case 6:
            add(std::string(records[choice % records.size()].data));
            break;
        case 7:
            m_pendingSnapshots.emplace_back(state.next(), snapshotRecord(id, state));
            break;
        case 8:
            if (!m_pendingSnapshots.empty()) {
                const auto snapshot = m_pendingSnapshots.back();
                m_pendingSnapshots.pop_back();
                snapshots[records.size()] = snapshot.first;
                add(snapshot.second);
            }
            break;
        default:
            add(records[choice % records.size()].data.substr(0, choice % 90)); // truncated
        }
    }

    std::map<uint64_t, uint64_t> m_seqs; // last sequence number of each writer
    // Snapshots that are not appended yet: next() of the state, and the record.
    std::vector<std::pair<uint64_t, std::string>> m_pendingSnapshots;
};

} // namespace cardamompaddle
