// The one registry of counters: packages enter theirs, whoever reports reads them here. Nothing counts twice.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <utility>

namespace martenford {

/// A number that only grows, for as long as the process lives; 64 bits don't wrap.
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
        std::string name;  ///< "package.what": small letters, digits, '_' and one '.'
        std::string help;
        std::string label;  ///< of several with one name: the class of requests; else empty
        Counter counter;
        std::function<double()>
            gauge;  ///< where it is set, this is read instead: a value that goes both ways
    };
    Counters() = default;
    Counters(const Counters&) = delete;
    Counters& operator=(const Counters&) = delete;

    /// The counter of this name and label, which lives as long as the registry. Entered twice it is the same
    /// counter.
    Counter& counter(const std::string& name, const std::string& help, const std::string& label = {}) {
        return entry(name, help, label).counter;
    }
    /// Read whenever somebody asks; whoever enters it outlives that.
    void gauge(const std::string& name, const std::string& help, std::function<double()> read) {
        entry(name, help, {}).gauge = std::move(read);
    }
    const std::deque<Entry>& entries() const { return entries_; }

  private:
    Entry& entry(const std::string& name, const std::string& help, const std::string& label) {
        for (Entry& e : entries_) {  // entered at the start, some dozens
            if (e.name == name && e.label == label) return e;
        }
        return entries_.emplace_back(Entry{name, help, label, {}, {}});
    }
    std::deque<Entry> entries_;  // addresses stay
};

}  // namespace martenford
