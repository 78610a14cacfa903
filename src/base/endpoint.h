/// TCP endpoints: IP address and port.
#pragma once

#include "base/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace corianderhoist {

/// An IPv4 or IPv6 address with a TCP port. When listening, port 0 lets the kernel choose a port.
struct endpoint {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;
};

/// Parses "127.0.0.1:8080" or "[::1]:8080". Fails with `kBadRequest`.
result<endpoint> ParseEndpoint(std::string_view text);

/// Formats `address` in the syntax that `ParseEndpoint` accepts.
std::string FormatEndpoint(const endpoint& address);

}  // namespace corianderhoist
