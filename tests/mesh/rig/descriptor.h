// A file descriptor that is closed with its owner.
#pragma once

#include <unistd.h>

#include <utility>

namespace martenford::rig {

class Descriptor {
  public:
    explicit Descriptor(int number) : number_(number) {}
    Descriptor(Descriptor&& other) noexcept : number_(std::exchange(other.number_, -1)) {}
    Descriptor& operator=(Descriptor&&) = delete;
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    ~Descriptor() { close(); }

    [[nodiscard]] int number() const { return number_; }
    void close() {
        if (number_ >= 0) ::close(std::exchange(number_, -1));
    }

  private:
    int number_;
};

}  // namespace martenford::rig
