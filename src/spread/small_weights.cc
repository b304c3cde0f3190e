#include "wagtailslip/spread/small_weights.h"

namespace wagtailslip::spread {
namespace {

using std::chrono::milliseconds;

// At least the number of chunks of the users' weights, so that the first copy does not wait for
// neighbours. With more chunks, a fetcher stops fetching from the origin at this number until a
// neighbour reports the first of them.
constexpr std::size_t kMaxUnconfirmedOwnChunks = 64;
// While the origin sends the first copy, its reply to a new connection is queued on its link behind
// one chunk for each fetcher. A fetcher that times out then backs off and leaves the link idle.
constexpr Duration kConnectTimeout = milliseconds(1500);
// A connection request to an origin that is gone may be lost, and is repeated by TCP only after a
// second. A new connection notices sooner that the origin is back.
constexpr Duration kProbeConnectTimeout = milliseconds(250);

}  // namespace

SessionLimits SmallWeightsLimits() {
  SessionLimits limits;
  limits.neighbours = 10;
  limits.max_outstanding = 6;
  // Two requests at a time to one peer made others wait or be refused: one halved the number of
  // refused requests, and versions were complete as soon as before.
  limits.max_per_peer = 1;
  limits.poll_interval = milliseconds(120);
  limits.poll_timeout = milliseconds(800);
  limits.min_deadline = milliseconds(700);
  limits.min_initial_rate = 1 << 17;
  // With 16 requests at a time on a link of 9 Mbit/s a chunk takes 0.7 s. A fetcher whose requests
  // expire backs off while the link is idle, and asks for chunks again that are already on their
  // way.
  limits.min_origin_deadline = std::chrono::seconds(3);
  // A version must reach all sidecars within 8 s, so a recovered origin must be noticed quickly.
  limits.max_origin_backoff = std::chrono::seconds(1);
  // A dozen fetchers that each ask every 100 ms notice within about 20 ms that the origin is back,
  // and send it at most about a hundred small requests per second.
  limits.origin_probe_interval = milliseconds(100);
  // The origin may become unavailable seconds after a version becomes the target, so the first copy
  // is fetched from it without pauses: two concurrent requests hide the round trip, and requests to
  // neighbours get only a small share of a fetcher's link. The chunks of a stopped fetcher are
  // taken over after 0.9 s without progress instead of 3 s, or after 0.3 s without a reply.
  limits.origin_grace_period = milliseconds(250);
  limits.max_unconfirmed_chunks = kMaxUnconfirmedOwnChunks;
  limits.max_to_origin = 2;
  limits.max_peer_requests_during_origin_fetch = 1;
  limits.takeover_timeout_factor = 0.3;
  limits.help_other_fetchers = true;
  return limits;
}

Duration OriginConnectTimeout(const Session& session) {
  return session.OriginUnreachable() ? kProbeConnectTimeout : kConnectTimeout;
}

}  // namespace wagtailslip::spread
