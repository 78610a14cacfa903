#include "base/endpoint.h"

#include <QHostAddress>

#include <charconv>

namespace corianderhoist {

result<endpoint> ParseEndpoint(std::string_view text) {
  const auto fail = [&] {
    return Fail(error_kind::kBadRequest,
                "address '" + std::string(text) + "' is not IP:PORT, as in 127.0.0.1:8080");
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return fail();
  }
  std::string_view ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [rest, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (digits.empty() || status != std::errc() || rest != digits.data() + digits.size()) {
    return fail();
  }
  if (QHostAddress(QString::fromStdString(std::string(ip))).isNull()) {
    return fail();
  }
  return endpoint{std::string(ip), port};
}

std::string FormatEndpoint(const endpoint& address) {
  const bool is_ipv6 = address.ip.find(':') != std::string::npos;
  const std::string ip = is_ipv6 ? "[" + address.ip + "]" : address.ip;
  return ip + ":" + std::to_string(address.port);
}

}  // namespace corianderhoist
