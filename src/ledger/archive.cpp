#include "ledger/archive.h"

#include <fcntl.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/util/delimited_message_util.h>
#include <google/protobuf/util/json_util.h>
#include <openssl/evp.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zstd.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "ledger/filter.h"
#include "ledger/story.pb.h"

namespace martenford::ledger {

using store::ErrorKind;
using store::StoreError;

namespace {

constexpr const char* kManifestFile = "archives.json";
constexpr std::uint32_t kManifestVersion = 1;
constexpr int kZstdLevel = 9;
/// Of one archive, unpacked: a file that claims more is no archive of ours.
constexpr std::size_t kMaxRawBytes = 256 * 1024 * 1024;

std::string to_hex(const unsigned char* bytes, std::size_t size) {
    constexpr const char* kDigits = "0123456789abcdef";
    std::string text;
    for (std::size_t i = 0; i < size; ++i) {
        text += kDigits[bytes[i] >> 4];
        text += kDigits[bytes[i] & 15];
    }
    return text;
}

std::string sha256(std::string_view bytes) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return to_hex(digest.data(), size);
}

[[noreturn]] void throw_io_error(const std::string& path) {
    throw StoreError(errno == ENOSPC ? ErrorKind::Full : ErrorKind::ReadOnly,
                     path + ": " + std::strerror(errno));
}

/// On disk under this name, whole, or not at all.
void write_durably(const std::string& path, std::string_view bytes) {
    const std::string temporary = path + ".new";
    const int file = ::open(temporary.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
    if (file < 0) throw_io_error(temporary);
    bool done = true;
    for (std::size_t at = 0; done && at < bytes.size();) {
        const auto n = ::write(file, bytes.data() + at, bytes.size() - at);
        done = n > 0;
        if (done) at += static_cast<std::size_t>(n);
    }
    done = done && ::fsync(file) == 0;
    const int fault = errno;
    ::close(file);
    if (done && ::rename(temporary.c_str(), path.c_str()) == 0) {
        const int directory =
            ::open(std::filesystem::path(path).parent_path().c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        if (directory >= 0) {
            ::fsync(directory);
            ::close(directory);
        }
        return;
    }
    errno = done ? errno : fault;
    const int why = errno;
    ::unlink(temporary.c_str());
    errno = why;
    throw_io_error(path);
}

std::string read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return std::string((std::istreambuf_iterator<char>(file)), {});
}

std::string filter_file(const std::string& file) {
    return file + ".filter";
}

}  // namespace

std::pair<std::uint64_t, std::uint64_t> BloomFilter::hashes(std::string_view text) {
    const XXH128_hash_t both = XXH3_128bits(text.data(), text.size());
    return {both.low64, both.high64 | 1};
}

story::Story to_proto(const Entry& entry) {
    story::Story to;
    const RequestHistory& history = entry.history;
    to.set_sidecar(entry.sidecar);
    to.set_boot(static_cast<std::uint64_t>(entry.boot));
    to.set_serial(entry.serial);
    to.set_id(history.id());
    to.set_klass(history.klass());
    to.set_key(history.key());
    to.set_digest(history.digest());
    to.set_taken_ms(history.taken_ms());
    to.set_taken_mono_ns(history.taken_mono_ns());
    to.set_answer(std::string(name_of(history.answer())));
    to.set_answered_ms(history.answered_ms());
    to.set_effect(std::string(name_of(entry.concluded.value_or(history.effect()))));
    to.set_reason(history.reason());
    to.set_under_way(!entry.concluded);
    for (const auto& [number, attempt] : history.attempts()) {
        auto& a = *to.add_attempts();
        a.set_number(number);
        a.set_uid(attempt.uid);
        a.set_address(attempt.address);
        a.set_intent_ms(attempt.intent_ms);
        a.set_written_ms(attempt.written_ms);
        a.set_ended_ms(attempt.ended_ms);
        a.set_ending(std::string(name_of(attempt.ending)));
    }
    return to;
}

Archives::Archives(std::string directory) : directory_(std::move(directory)) {}

story::Manifest Archives::manifest() const {
    story::Manifest result;
    const std::string text = read_file(path(kManifestFile));
    if (text.empty()) return result;
    if (!google::protobuf::util::JsonStringToMessage(text, &result).ok())
        throw StoreError(ErrorKind::Corrupt, path(kManifestFile) + ": can't be read");
    if (result.version() > kManifestVersion)
        throw StoreError(ErrorKind::Newer,
                         path(kManifestFile) + ": written by a later version of this program");
    return result;
}

void Archives::write_manifest(const story::Manifest& manifest) const {
    std::string text;
    google::protobuf::util::JsonPrintOptions pretty;
    pretty.add_whitespace = true;
    if (!google::protobuf::util::MessageToJsonString(manifest, &text, pretty).ok())
        throw StoreError(ErrorKind::Other, path(kManifestFile) + ": can't be written as JSON");
    write_durably(path(kManifestFile), text);
}

std::size_t Archives::move_settled(JournalDatabase& database, std::int64_t before_ms,
                                   std::size_t min_requests) {
    const auto entries = database.settled_before(before_ms, kMaxRequests);
    if (entries.size() < std::max<std::size_t>(min_requests, 1)) return 0;
    std::string raw;
    BloomFilter filter(entries.size() * 2);
    story::ArchiveInfo info;
    {
        google::protobuf::io::StringOutputStream stream(&raw);
        for (const Entry& entry : entries) {
            google::protobuf::util::SerializeDelimitedToZeroCopyStream(to_proto(entry), &stream);
            filter.add(entry.history.id());
            if (!entry.history.key().empty()) filter.add(entry.history.key());
        }
    }
    std::string compressed(ZSTD_compressBound(raw.size()), '\0');
    const std::size_t size =
        ZSTD_compress(compressed.data(), compressed.size(), raw.data(), raw.size(), kZstdLevel);
    if (ZSTD_isError(size))
        throw StoreError(ErrorKind::Other, std::string("zstd: ") + ZSTD_getErrorName(size));
    compressed.resize(size);
    info.set_sha256(sha256(compressed));
    info.set_filter_sha256(sha256(filter.bytes()));
    info.set_requests(entries.size());
    info.set_first_ms(entries.front().history.taken_ms());
    info.set_last_ms(entries.back().history.taken_ms());
    info.set_raw_bytes(raw.size());
    info.set_bytes(compressed.size());
    // Named by what is in it: after a crash half way the same requests make the same file again.
    info.set_file("archive-" + std::to_string(info.first_ms()) + "-" + info.sha256().substr(0, 12) + ".zst");
    write_durably(path(info.file()), compressed);
    write_durably(path(filter_file(info.file())), filter.bytes());
    auto all = manifest();
    all.set_version(kManifestVersion);
    const bool listed = std::any_of(all.archives().begin(), all.archives().end(),
                                    [&](const auto& archive) { return archive.file() == info.file(); });
    if (!listed) {
        *all.add_archives() = info;
        write_manifest(all);
    }
    database.remove(entries);
    return entries.size();
}

std::size_t Archives::prune(std::int64_t before_ms) {
    const auto all = manifest();
    story::Manifest remaining;
    remaining.set_version(kManifestVersion);
    std::vector<std::string> removed;
    for (const auto& info : all.archives()) {
        if (info.last_ms() < before_ms) {
            removed.push_back(info.file());
        } else {
            *remaining.add_archives() = info;
        }
    }
    if (removed.empty()) return 0;
    write_manifest(remaining);  // first: a file that is listed is there
    for (const std::string& file : removed) {
        ::unlink(path(file).c_str());
        ::unlink(path(filter_file(file)).c_str());
    }
    return removed.size();
}

/// Reads the few bytes that decide. Where the filter is missing or not as long as it was the archive is read.
bool Archives::may_contain(const story::ArchiveInfo& info, const std::string& text) {
    const int file = ::open(path(filter_file(info.file())).c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0) return true;
    struct stat status {};
    bool result = true;
    if (::fstat(file, &status) == 0 && status.st_size > 0) {
        result =
            BloomFilter::may_contain(text, static_cast<std::size_t>(status.st_size), [&](std::uint64_t at) {
                unsigned char byte = 0xff;
                if (::pread(file, &byte, 1, static_cast<off_t>(at)) != 1) byte = 0xff;
                return byte;
            });
    }
    ::close(file);
    return result;
}

bool Archives::read(const story::ArchiveInfo& info, const Visitor& visit) {
    ++archives_read_;
    const std::string compressed = read_file(path(info.file()));
    if (sha256(compressed) != info.sha256()) {
        errors_.push_back(info.file() + ": is not as it was written (SHA-256); its " +
                          std::to_string(info.requests()) + " requests are passed over");
        return true;
    }
    const auto size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    std::string raw;
    if (size <= kMaxRawBytes) raw.resize(size);
    if (raw.empty() ||
        ZSTD_isError(ZSTD_decompress(raw.data(), raw.size(), compressed.data(), compressed.size()))) {
        errors_.push_back(info.file() + ": can't be unpacked");
        return true;
    }
    google::protobuf::io::ArrayInputStream stream(raw.data(), static_cast<int>(raw.size()));
    for (bool end = false; !end;) {
        story::Story story;
        if (!google::protobuf::util::ParseDelimitedFromZeroCopyStream(&story, &stream, &end)) {
            if (!end) errors_.push_back(info.file() + ": a request in it can't be read");
            return true;
        }
        if (!visit(story)) return false;
    }
    return true;
}

void Archives::by_id_or_key(const std::string& id_or_key, bool key, const Visitor& visit) {
    const auto all = manifest();
    for (const auto& info : all.archives()) {
        if (!may_contain(info, id_or_key)) continue;
        const bool more = read(info, [&](const story::Story& story) {
            return (key ? story.key() : story.id()) != id_or_key || visit(story);
        });
        if (!more) return;
    }
}

void Archives::by_time(std::int64_t from_ms, std::int64_t to_ms, const Visitor& visit) {
    const auto all = manifest();
    for (const auto& info : all.archives()) {
        if (info.last_ms() < from_ms || info.first_ms() >= to_ms) continue;
        const bool more = read(info, [&](const story::Story& story) {
            return story.taken_ms() < from_ms || story.taken_ms() >= to_ms || visit(story);
        });
        if (!more) return;
    }
}

Archives::Totals Archives::totals() const {
    Totals result;
    const auto all = manifest();
    for (const auto& info : all.archives()) {
        ++result.archives;
        result.requests += info.requests();
        result.raw_bytes += info.raw_bytes();
        result.bytes += info.bytes();
    }
    return result;
}

std::vector<std::string> Archives::verify() {
    std::vector<std::string> found;
    const auto all = manifest();
    for (const auto& info : all.archives()) {
        std::uint64_t requests = 0;
        const std::size_t before = errors_.size();
        read(info, [&](const story::Story&) { return ++requests > 0; });
        if (errors_.size() > before) {
            found.push_back(errors_.back());
        } else if (requests != info.requests()) {
            found.push_back(info.file() + ": holds " + std::to_string(requests) + " requests, not " +
                            std::to_string(info.requests()));
        }
        if (sha256(read_file(path(filter_file(info.file())))) != info.filter_sha256())
            found.push_back(filter_file(info.file()) + ": is not as it was written (SHA-256)");
    }
    return found;
}

}  // namespace martenford::ledger
