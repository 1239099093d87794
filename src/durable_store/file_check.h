// Checks the structure of a database file by plain reads, before LMDB maps it. LMDB trusts its pages: a
// damaged one can end the process (by an assertion, SIGSEGV or SIGBUS) or be written over others. The format
// is that of LMDB 0.9 on a 64-bit little-endian machine, data version 1 (lmdb.h and the comments of mdb.c).
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "durable_store/durable_store.h"

namespace martenford::durable_store {

/// Reads both meta pages and every page of the newest state's trees: page headers, nodes, order of keys,
/// counts, the list of free pages, and that no page is used twice. The bytes of the records are not read: the
/// store's checksums guard those. Returns nothing if LMDB can use the file: it is sound, empty, or not there.
/// Returns Damaged with the first finding, or Other if the file cannot be read.
/// @param map_size_bytes the most that LMDB may have let the file grow to
[[nodiscard]] std::optional<StorageError> check_database_file(const std::string& path,
                                                              std::size_t map_size_bytes);

}  // namespace martenford::durable_store
