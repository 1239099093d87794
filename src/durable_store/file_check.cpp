#include "durable_store/file_check.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <utility>
#include <vector>

namespace martenford::durable_store {
namespace {

// ---- the format

using PageNumber = std::uint64_t;

constexpr PageNumber kNoPage = ~PageNumber{0};
constexpr std::size_t kMetaPages = 2;
constexpr std::uint32_t kMagic = 0xBEEFC0DE;
constexpr std::uint32_t kDataVersion = 1;
constexpr std::size_t kMinPageBytes = 512;
constexpr std::size_t kMaxPageBytes = 32768;
/// LMDB's cursors hold so many levels.
constexpr std::uint16_t kMaxDepth = 32;
constexpr std::size_t kMaxKeyBytes = 511;

// What a page is.
constexpr std::uint16_t kBranchPage = 0x01;
constexpr std::uint16_t kLeafPage = 0x02;
constexpr std::uint16_t kOverflowPage = 0x04;
constexpr std::uint16_t kMetaPage = 0x08;
/// A leaf node whose value is on overflow pages.
constexpr std::uint16_t kValueOnOverflowPages = 0x01;
/// The flags of a tree that say how its keys and values are ordered.
constexpr std::uint16_t kTreeFlags = 0x7f;
constexpr std::uint16_t kIntegerKeys = 0x08;

struct PageHeader {
    PageNumber number = 0;
    std::uint16_t pad = 0;
    std::uint16_t flags = 0;
    std::uint16_t lower = 0;  // of a branch or a leaf: end of the node offsets
    std::uint16_t upper = 0;  // start of the nodes
    [[nodiscard]] std::uint32_t overflow_pages() const { return lower | std::uint32_t{upper} << 16; }
};
static_assert(sizeof(PageHeader) == 16);

struct TreeHeader {
    std::uint32_t page_bytes = 0;  // in the tree of free pages only
    std::uint16_t flags = 0;
    std::uint16_t depth = 0;
    std::uint64_t branch_pages = 0;
    std::uint64_t leaf_pages = 0;
    std::uint64_t overflow_pages = 0;
    std::uint64_t entries = 0;
    PageNumber root = kNoPage;
};
static_assert(sizeof(TreeHeader) == 48);

struct Meta {
    std::uint32_t magic = 0;
    std::uint32_t version = 0;
    std::uint64_t address = 0;
    std::uint64_t map_bytes = 0;
    TreeHeader free_pages;
    TreeHeader records;
    PageNumber last_page = 0;
    std::uint64_t transaction = 0;
};
static_assert(sizeof(Meta) == 136);

struct NodeHeader {
    std::uint16_t low = 0;
    std::uint16_t high = 0;
    std::uint16_t flags = 0;
    std::uint16_t key_bytes = 0;
    [[nodiscard]] std::uint32_t value_bytes() const { return low | std::uint32_t{high} << 16; }
    [[nodiscard]] PageNumber child() const { return value_bytes() | PageNumber{flags} << 32; }
};
static_assert(sizeof(NodeHeader) == 8);

/// `bytes` has a whole T at `offset`.
template <class T>
T read_as(std::string_view bytes, std::size_t offset = 0) {
    T value;
    std::memcpy(static_cast<void*>(&value), bytes.data() + offset, sizeof value);
    return value;
}

// ---- the file

/// Why the check ends early.
struct Finding {
    StorageError::Code code = StorageError::Code::Damaged;
    std::string what;
};

Finding damage(std::string what) {
    return {StorageError::Code::Damaged, std::move(what)};
}

class File {
  public:
    explicit File(const std::string& path) : descriptor_(::open(path.c_str(), O_RDONLY | O_CLOEXEC)) {}
    File(const File&) = delete;
    File& operator=(const File&) = delete;
    ~File() {
        if (descriptor_ >= 0) ::close(descriptor_);
    }

    [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
    /// Returns nothing if it can't be told.
    [[nodiscard]] std::optional<std::uint64_t> size() const {
        struct stat status {};
        if (::fstat(descriptor_, &status) != 0 || !S_ISREG(status.st_mode)) return std::nullopt;
        return static_cast<std::uint64_t>(status.st_size);
    }
    [[nodiscard]] std::optional<Finding> read(std::uint64_t offset, std::size_t size,
                                              std::string& bytes) const {
        bytes.resize(size);
        std::size_t done = 0;
        while (done < size) {
            const ssize_t got =
                ::pread(descriptor_, bytes.data() + done, size - done, static_cast<off_t>(offset + done));
            if (got < 0 && errno == EINTR) continue;
            if (got < 0) return Finding{StorageError::Code::Other, std::strerror(errno)};
            if (got == 0) return damage("it ends too early");
            done += static_cast<std::size_t>(got);
        }
        return std::nullopt;
    }

  private:
    int descriptor_;
};

// ---- the check

enum class TreeKind : std::uint8_t { Records, FreePages };

class FileCheck {
  public:
    FileCheck(const File& file, std::uint64_t file_bytes, std::size_t map_size_bytes)
        : file_(file), file_bytes_(file_bytes), map_bytes_(map_size_bytes) {}

    [[nodiscard]] std::optional<Finding> run() {
        if (auto finding = read_metas()) return finding;
        claimed_.assign(meta_.last_page + 1, false);
        for (std::size_t page = 0; page < kMetaPages; ++page) claimed_[page] = true;
        if (auto finding = check_tree(meta_.records, TreeKind::Records)) return finding;
        return check_tree(meta_.free_pages, TreeKind::FreePages);
    }

  private:
    struct Counts {
        std::uint64_t branch_pages = 0;
        std::uint64_t leaf_pages = 0;
        std::uint64_t overflow_pages = 0;
        std::uint64_t entries = 0;
    };
    struct Node {
        NodeHeader header;
        std::string_view key;
        std::string_view value;  // in the node: the value itself, or the number of its first overflow page
    };

    [[nodiscard]] std::optional<Finding> read_metas() {
        std::string bytes;
        if (auto finding = file_.read(0, sizeof(PageHeader) + sizeof(Meta), bytes)) return finding;
        page_bytes_ = read_as<Meta>(bytes, sizeof(PageHeader)).free_pages.page_bytes;
        const bool is_power_of_two = (page_bytes_ & (page_bytes_ - 1)) == 0;
        if (page_bytes_ < kMinPageBytes || page_bytes_ > kMaxPageBytes || !is_power_of_two)
            return damage("no page size");
        std::array<Meta, kMetaPages> metas;
        for (std::size_t i = 0; i < kMetaPages; ++i) {
            if (auto finding = read_meta(i, metas[i])) return finding;
        }
        return choose_meta(metas);
    }

    [[nodiscard]] std::optional<Finding> read_meta(std::size_t number, Meta& meta) const {
        std::string page;
        if (auto finding = file_.read(number * page_bytes_, page_bytes_, page)) return finding;
        const auto header = read_as<PageHeader>(page);
        meta = read_as<Meta>(page, sizeof(PageHeader));
        if (header.number != number || header.flags != kMetaPage) return damage("a meta page is none");
        if (meta.magic != kMagic || meta.version != kDataVersion) return damage("another format");
        if (meta.free_pages.page_bytes != page_bytes_) return damage("two page sizes");
        return std::nullopt;
    }

    /// LMDB writes the two in turn, each transaction to the page of its number's parity, and takes the newer
    /// one. A number that breaks the turn would have it take the older state for the newest.
    [[nodiscard]] std::optional<Finding> choose_meta(const std::array<Meta, kMetaPages>& metas) {
        const std::uint64_t first = metas[0].transaction;
        const std::uint64_t second = metas[1].transaction;
        const bool is_new = first == 0 && second == 0;
        const bool in_turn = first % 2 == 0 && (second == first + 1 || first == second + 1);
        if (!is_new && !in_turn) return damage("transaction numbers out of turn");
        meta_ = metas[second > first ? 1 : 0];
        const std::uint64_t most_pages = std::max<std::uint64_t>(map_bytes_, file_bytes_) / page_bytes_;
        if (meta_.last_page < kMetaPages - 1 || meta_.last_page >= most_pages) return damage("no last page");
        return std::nullopt;
    }

    [[nodiscard]] std::optional<Finding> check_tree(const TreeHeader& tree, TreeKind kind) {
        const std::uint16_t flags = kind == TreeKind::FreePages ? kIntegerKeys : 0;
        if ((tree.flags & kTreeFlags) != flags) return damage("unknown tree flags");
        if (tree.depth > kMaxDepth || (tree.depth == 0) != (tree.root == kNoPage))
            return damage("a tree without a root");
        kind_ = kind;
        counts_ = {};
        previous_key_.clear();
        least_key_.clear();
        if (tree.depth != 0) {
            if (auto finding = check_page(tree.root, tree.depth)) return finding;
        }
        if (counts_.branch_pages != tree.branch_pages || counts_.leaf_pages != tree.leaf_pages ||
            counts_.overflow_pages != tree.overflow_pages || counts_.entries != tree.entries)
            return damage("wrong counts of a tree");
        return std::nullopt;
    }

    /// Marks the page as used, or returns false if it can't be: it is beyond the last one, or in use.
    [[nodiscard]] bool claim(PageNumber page) {
        if (page > meta_.last_page || claimed_[page]) return false;
        claimed_[page] = true;
        return true;
    }

    /// @param levels of the tree from this page on; 1: it is a leaf
    // NOLINTNEXTLINE(misc-no-recursion): kMaxDepth deep at most
    [[nodiscard]] std::optional<Finding> check_page(PageNumber number, std::uint16_t levels) {
        if (!claim(number)) return damage("a page is used twice or is none");
        std::string page;
        if (auto finding = file_.read(number * page_bytes_, page_bytes_, page)) return finding;
        const auto header = read_as<PageHeader>(page);
        if (header.number != number) return damage("another page's number");
        if (header.flags != (levels == 1 ? kLeafPage : kBranchPage)) return damage("a page of another kind");
        std::vector<Node> nodes;
        if (auto finding = read_nodes(page, header, nodes)) return finding;
        ++(levels == 1 ? counts_.leaf_pages : counts_.branch_pages);
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            auto finding = levels == 1 ? check_entry(nodes[i]) : check_child(nodes[i], i == 0, levels);
            if (finding) return finding;
        }
        return std::nullopt;
    }

    /// Reads the nodes of a page in the order of their keys, and checks that they fill its upper part.
    [[nodiscard]] std::optional<Finding> read_nodes(const std::string& page, const PageHeader& header,
                                                    std::vector<Node>& nodes) const {
        if (header.lower < sizeof(PageHeader) || header.lower > header.upper || header.upper > page_bytes_ ||
            header.lower % 2 != 0)
            return damage("wrong bounds of a page");
        const std::size_t count = (header.lower - sizeof(PageHeader)) / sizeof(std::uint16_t);
        const bool is_branch_of_records = header.flags == kBranchPage && kind_ == TreeKind::Records;
        if (count < (is_branch_of_records ? 2U : 1U)) return damage("too few nodes");
        std::vector<std::pair<std::size_t, std::size_t>> extents;  // begin, end
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t offset_at = sizeof(PageHeader) + i * sizeof(std::uint16_t);
            const std::size_t begin = read_as<std::uint16_t>(page, offset_at);
            Node node;
            std::size_t end = 0;
            if (!read_node(page, header, begin, node, end)) return damage("a node beyond its page");
            extents.emplace_back(begin, end);
            nodes.push_back(node);
        }
        std::sort(extents.begin(), extents.end());
        std::size_t expected = header.upper;
        for (const auto& [begin, end] : extents) {
            if (begin != expected) return damage("nodes that overlap");
            expected = end;
        }
        if (expected != page_bytes_) return damage("nodes that end too early");
        return std::nullopt;
    }

    [[nodiscard]] bool read_node(std::string_view page, const PageHeader& header, std::size_t begin,
                                 Node& node, std::size_t& end) const {
        if (begin < header.upper || begin + sizeof(NodeHeader) > page_bytes_) return false;
        node.header = read_as<NodeHeader>(page, begin);
        const std::size_t value_at = begin + sizeof(NodeHeader) + node.header.key_bytes;
        std::size_t value_bytes = 0;
        if (header.flags == kLeafPage) {
            const bool is_on_overflow = node.header.flags == kValueOnOverflowPages;
            if (node.header.flags != 0 && !is_on_overflow) return false;
            value_bytes = is_on_overflow ? sizeof(PageNumber) : node.header.value_bytes();
        }
        end = value_at + value_bytes;
        end += end % 2;
        if (node.header.key_bytes > kMaxKeyBytes || end > page_bytes_) return false;
        node.key = page.substr(begin + sizeof(NodeHeader), node.header.key_bytes);
        node.value = page.substr(value_at, value_bytes);
        return true;
    }

    /// Negative, 0 or positive, as LMDB orders the keys of this tree.
    [[nodiscard]] int compare(std::string_view a, std::string_view b) const {
        if (kind_ == TreeKind::Records) return a.compare(b);
        const auto first = read_as<std::uint64_t>(a);
        const auto second = read_as<std::uint64_t>(b);
        return first < second ? -1 : first > second ? 1 : 0;
    }

    [[nodiscard]] bool is_key(std::string_view key) const {
        return kind_ == TreeKind::Records ? !key.empty() : key.size() == sizeof(std::uint64_t);
    }

    // NOLINTNEXTLINE(misc-no-recursion): see check_page()
    [[nodiscard]] std::optional<Finding> check_child(const Node& node, bool is_first, std::uint16_t levels) {
        // The first child takes all keys below the second one's; its own is not used.
        if (!is_first) {
            if (!is_key(node.key)) return damage("a branch without a key");
            if (!previous_key_.empty() && compare(node.key, previous_key_) <= 0)
                return damage("keys out of order");
            least_key_ = node.key;
        }
        return check_page(node.header.child(), levels - 1);
    }

    [[nodiscard]] std::optional<Finding> check_entry(const Node& node) {
        if (!is_key(node.key)) return damage("an entry without a key");
        if (!previous_key_.empty() && compare(node.key, previous_key_) <= 0)
            return damage("keys out of order");
        if (!least_key_.empty() && compare(node.key, least_key_) < 0)
            return damage("a key in another's page");
        previous_key_ = node.key;
        ++counts_.entries;
        std::optional<PageNumber> overflow;
        if (node.header.flags == kValueOnOverflowPages) {
            overflow = read_as<PageNumber>(node.value);
            if (auto finding = check_overflow(*overflow, node.header.value_bytes())) return finding;
        }
        if (kind_ == TreeKind::Records) return std::nullopt;
        std::string list(node.value);
        if (overflow) {
            const std::uint64_t offset = *overflow * page_bytes_ + sizeof(PageHeader);
            if (auto finding = file_.read(offset, node.header.value_bytes(), list)) return finding;
        }
        return check_free_pages(list);
    }

    [[nodiscard]] std::optional<Finding> check_overflow(PageNumber first, std::size_t value_bytes) {
        if (!claim(first)) return damage("an overflow page is used twice or is none");
        std::string bytes;
        if (auto finding = file_.read(first * page_bytes_, sizeof(PageHeader), bytes)) return finding;
        const auto header = read_as<PageHeader>(bytes);
        if (header.number != first || header.flags != kOverflowPage) return damage("no overflow page");
        const std::uint64_t pages = header.overflow_pages();
        const std::uint64_t needed = (sizeof(PageHeader) - 1 + value_bytes) / page_bytes_ + 1;
        if (pages < needed || pages > claimed_.size()) return damage("wrong number of overflow pages");
        for (PageNumber page = first + 1; page < first + pages; ++page) {
            if (!claim(page)) return damage("an overflow page is used twice or is none");
        }
        if ((first + needed) * page_bytes_ > file_bytes_) return damage("it ends within a value");
        counts_.overflow_pages += pages;
        return std::nullopt;
    }

    /// A list holds its length, and page numbers in descending order.
    [[nodiscard]] std::optional<Finding> check_free_pages(std::string_view list) {
        if (list.size() < sizeof(std::uint64_t)) return damage("a list of free pages without a length");
        const auto length = read_as<std::uint64_t>(list);
        if (length >= list.size() / sizeof(PageNumber)) return damage("a list of free pages is cut");
        PageNumber previous = kNoPage;
        for (std::uint64_t i = 1; i <= length; ++i) {
            const auto page = read_as<PageNumber>(list, i * sizeof(PageNumber));
            if (page >= previous || !claim(page)) return damage("a free page is in use or is none");
            previous = page;
        }
        return std::nullopt;
    }

    const File& file_;
    const std::uint64_t file_bytes_;
    const std::uint64_t map_bytes_;
    std::uint64_t page_bytes_ = 0;
    Meta meta_;
    std::vector<bool> claimed_;  // by page: part of a tree, or free
    // Of the tree that is being checked:
    TreeKind kind_ = TreeKind::Records;
    Counts counts_;
    std::string previous_key_;  // of the last entry; empty: none yet
    std::string least_key_;     // of the subtree; empty: none
};

}  // namespace

std::optional<StorageError> check_database_file(const std::string& path, std::size_t map_size_bytes) {
    const auto error = [](const Finding& finding) {
        return StorageError{finding.code, "check", "check: " + finding.what};
    };
    const File file(path);
    if (!file.is_open()) {
        if (errno == ENOENT) return std::nullopt;
        return error({StorageError::Code::Other, std::strerror(errno)});
    }
    const auto size = file.size();
    if (!size) return error({StorageError::Code::Other, "no regular file"});
    if (*size == 0) return std::nullopt;
    const auto finding = FileCheck(file, *size, map_size_bytes).run();
    return finding ? std::optional(error(*finding)) : std::nullopt;
}

}  // namespace martenford::durable_store
