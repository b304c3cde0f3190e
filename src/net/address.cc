#include "wagtailslip/net/address.h"

#include <charconv>

#include "wagtailslip/net/error.h"

namespace wagtailslip::net {

tcp::endpoint ParseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    throw NetError("address '" + std::string(text) + "' is not of the form ip:port");
  }
  std::string host(text.substr(0, colon));
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, problem] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  error_code ec;
  const auto ip = asio::ip::make_address(host, ec);
  if (ec || problem != std::errc() || end != port_text.data() + port_text.size()) {
    throw NetError("address '" + std::string(text) + "' is not of the form ip:port");
  }
  return {ip, port};
}

std::string FormatAddress(const tcp::endpoint& address) {
  const std::string ip = address.address().to_string();
  const std::string host = address.address().is_v6() ? "[" + ip + "]" : ip;
  return host + ":" + std::to_string(address.port());
}

}  // namespace wagtailslip::net
