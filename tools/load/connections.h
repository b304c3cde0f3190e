#pragma once

#include <map>
#include <memory>
#include <vector>

#include "wagtailslip/net/http_client.h"

namespace wagtailslip::tools {

/// Idle connections by address. Unlike net::HttpPool it drops those that were idle for so long
/// that the server may be about to close them, so that a lost connection in a report is a fault
/// of the system under test.
class Connections {
 public:
  explicit Connections(bool fresh) : fresh_(fresh) {}

  net::Task<std::unique_ptr<net::HttpConnection>> Acquire(net::tcp::endpoint address,
                                                          Duration timeout);
  void Release(const net::tcp::endpoint& address, std::unique_ptr<net::HttpConnection> connection);

 private:
  struct Idle {
    std::unique_ptr<net::HttpConnection> connection;
    TimePoint since;
  };
  bool fresh_;
  std::map<net::tcp::endpoint, std::vector<Idle>> idle_;
};

}  // namespace wagtailslip::tools
