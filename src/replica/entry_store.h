// The entries of one copy, by name and by place, with their sums. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "replica/digests.h"
#include "replica/message.h"

namespace martenford::replica {

class EntryStore {
  public:
    struct StoredEntry {
        Entry entry;
        std::uint64_t position = 0, hash = 0;
    };
    using Entries = std::map<EntryName, StoredEntry>;
    using Positions = std::map<std::uint64_t, Entries::iterator>;

    EntryStore() = default;
    EntryStore(const EntryStore& other)
        : entries_(other.entries_), sizes_(other.sizes_), digests_(other.digests_) {
        for (auto it = entries_.begin(); it != entries_.end(); ++it)
            positions_.emplace(it->second.position, it);
    }
    EntryStore& operator=(const EntryStore&) = delete;

    /// `entry` has versions, and its place is free or its own.
    void put(const EntryName& name, Entry entry) {
        const auto [it, inserted] = entries_.try_emplace(name);
        StoredEntry& stored = it->second;
        if (inserted) {
            stored.position = position_of(name);
            positions_.emplace(stored.position, it);
            ++sizes_[name.table];
        } else {
            digests_.remove(stored.position, stored.hash);
        }
        stored.entry = std::move(entry);
        stored.hash = hash_of(stored.entry);
        digests_.add(stored.position, stored.hash);
    }
    void erase(const EntryName& name) {
        const auto it = entries_.find(name);
        if (it == entries_.end()) return;
        digests_.remove(it->second.position, it->second.hash);
        positions_.erase(it->second.position);
        if (--sizes_[name.table] == 0) sizes_.erase(name.table);
        entries_.erase(it);
    }
    /// Only what is overwritten is forgotten: the sums stay.
    void replace_context(const EntryName& name, Entry entry) { entries_.at(name).entry = std::move(entry); }

    const StoredEntry* find(const EntryName& name) const {
        const auto it = entries_.find(name);
        return it == entries_.end() ? nullptr : &it->second;
    }
    const Entries& entries() const { return entries_; }
    const Positions& positions() const { return positions_; }
    std::size_t size_of(const std::string& table) const {
        const auto it = sizes_.find(table);
        return it == sizes_.end() ? 0 : it->second;
    }
    const Digests& digests() const { return digests_; }

  private:
    Entries entries_;
    Positions positions_;
    std::map<std::string, std::size_t> sizes_;
    Digests digests_;
};

}  // namespace martenford::replica
