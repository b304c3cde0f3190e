#pragma once

#include <string>

#include "wagtailslip/base/error.h"

namespace wagtailslip::net {

/// Error of the transport layer: a connection, a frame or an HTTP message.
class NetError : public Error {
 public:
  using Error::Error;
};

/// The operation did not end within its time limit.
class TimeoutError : public NetError {
 public:
  using NetError::NetError;
};

/// No connection to the remote address; no byte of the request was sent.
class ConnectError : public NetError {
 public:
  using NetError::NetError;
};

}  // namespace wagtailslip::net
