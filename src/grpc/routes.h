// Which class a gRPC method is of: the table `[[grpc.route]]` of our own configuration. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/toml_reader.h"
#include "martenford/decision/balancer.h"

namespace martenford::grpc {

struct Route {
    std::uint32_t class_index = 0;
    bool streaming = false;  ///< its messages are passed on as they come, and it is sent once at most
};

class Routes {
  public:
    /// `table` is [grpc]. Throws TomlError where a path is no "/package.Service/Method" or
    /// "/package.Service/*", is there twice, or where its class is none of these.
    static Routes read(TomlReader::Table& table, const std::vector<decision::RequestClass>& classes);
    /// The method's own entry, else its service's; nothing where neither is there. `path` as in `:path`.
    std::optional<Route> find(std::string_view path) const;
    std::size_t size() const { return by_path_.size(); }

  private:
    std::unordered_map<std::string, Route> by_path_;
};

}  // namespace martenford::grpc
