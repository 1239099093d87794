// The registry of counters. Each component registers its own; reports and telemetry read them here, so that
// nothing is counted twice.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <utility>

namespace martenford {

/// A counter that only grows during the life of the process. 64 bits do not overflow.
class Counter {
  public:
    void add(std::uint64_t by = 1) { value_ += by; }
    std::uint64_t value() const { return value_; }

  private:
    std::uint64_t value_ = 0;
};

class Counters {
  public:
    struct Entry {
        std::string name;  ///< "package.what": lower-case letters, digits, '_' and one '.'
        std::string help;
        std::string label;  ///< tells apart counters of one name, by request class; else empty
        Counter counter;
        std::function<double()>
            gauge;  ///< if set, this is read instead of the counter: a value that can also fall
    };
    Counters() = default;
    Counters(const Counters&) = delete;
    Counters& operator=(const Counters&) = delete;

    /// Returns the counter with this name and label, which lives as long as the registry. Registering it
    /// twice returns the same counter.
    Counter& counter(const std::string& name, const std::string& help, const std::string& label = {}) {
        return entry(name, help, label).counter;
    }
    /// Registers a gauge, which is read on demand. What `read` refers to must outlive the registry's readers.
    void gauge(const std::string& name, const std::string& help, std::function<double()> read) {
        entry(name, help, {}).gauge = std::move(read);
    }
    const std::deque<Entry>& entries() const { return entries_; }

  private:
    Entry& entry(const std::string& name, const std::string& help, const std::string& label) {
        for (Entry& e :
             entries_) {  // a linear search: counters are registered at startup, a few dozen of them
            if (e.name == name && e.label == label) return e;
        }
        return entries_.emplace_back(Entry{name, help, label, {}, {}});
    }
    std::deque<Entry> entries_;  // a deque: references to the entries stay valid
};

}  // namespace martenford
