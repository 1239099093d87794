// Bounds the bytes that are kept for peers: one budget for all connections that share it, and what each of
// them has of it. Pure.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace martenford {

class ByteBudget {
  public:
    explicit ByteBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    ByteBudget(const ByteBudget&) = delete;
    ByteBudget& operator=(const ByteBudget&) = delete;

    /// Returns false, and adds nothing, if that would exceed the budget.
    [[nodiscard]] bool add(std::size_t bytes) {
        if (held_bytes_ > max_bytes_ || bytes > max_bytes_ - held_bytes_) return false;
        held_bytes_ += bytes;
        return true;
    }
    void remove(std::size_t bytes) { held_bytes_ -= bytes; }
    [[nodiscard]] std::size_t held_bytes() const { return held_bytes_; }
    /// Takes nothing back: what is held above a lower limit stays until it is removed.
    void set_max_bytes(std::size_t max_bytes) { max_bytes_ = max_bytes; }

  private:
    std::size_t max_bytes_;
    std::size_t held_bytes_ = 0;
};

/// What one connection has of a budget. Its destruction gives it back. It shares the budget: connections
/// whose handlers are still pending outlive the listener that accepted them.
class ByteReservation {
  public:
    explicit ByteReservation(std::shared_ptr<ByteBudget> budget) : budget_(std::move(budget)) {}
    ~ByteReservation() { budget_->remove(bytes_); }
    ByteReservation(const ByteReservation&) = delete;
    ByteReservation& operator=(const ByteReservation&) = delete;

    /// Returns false, and changes nothing, if the budget has no room for more. Less always fits.
    [[nodiscard]] bool resize(std::size_t bytes) {
        if (bytes > bytes_ && !budget_->add(bytes - bytes_)) return false;
        if (bytes < bytes_) budget_->remove(bytes_ - bytes);
        bytes_ = bytes;
        return true;
    }
    void release() {
        budget_->remove(bytes_);
        bytes_ = 0;
    }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

  private:
    std::shared_ptr<ByteBudget> budget_;
    std::size_t bytes_ = 0;
};

}  // namespace martenford
