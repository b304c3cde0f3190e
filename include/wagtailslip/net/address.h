#pragma once

#include <string>
#include <string_view>

#include "wagtailslip/net/asio.h"

namespace wagtailslip::net {

/// Parses "ip:port".
/// @throws NetError if the text is not an IP number and a port
tcp::endpoint ParseAddress(std::string_view text);

/// Text form "ip:port".
std::string FormatAddress(const tcp::endpoint& address);

}  // namespace wagtailslip::net
