// Small files and names in a directory that must outlive a loss of power. Each function blocks until the disk
// has synced, and returns 0 or an errno.
#pragma once

#include <string>
#include <string_view>

namespace martenford::durable_store {

/// Syncs a directory: without it the names of new, renamed and removed files may be lost with the power.
[[nodiscard]] int sync_directory(const std::string& directory);

/// Writes the file `name` in `directory`, in place of the one before. Whole on disk when this returns 0;
/// after an error the file from before is still there.
[[nodiscard]] int replace_file(const std::string& directory, const std::string& name,
                               std::string_view content);

/// Renames `from` to `to` within `directory`, in place of what `to` named.
[[nodiscard]] int rename_file(const std::string& directory, const std::string& from, const std::string& to);

/// Removes `name` from `directory`. 0 if there was no such file.
[[nodiscard]] int remove_file(const std::string& directory, const std::string& name);

}  // namespace martenford::durable_store
