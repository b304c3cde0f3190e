#include "model.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace rig {
namespace {

constexpr std::size_t kFloodBytes = 16384;

std::string Chunk(const std::string& bytes) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string AnswerHead(int status, const std::string& reason, const Message& request,
                       const std::string& more) {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason +
         "\r\nAttempt-Id: " + request.Header("attempt-id") + "\r\n" + more;
}

}  // namespace

std::string Manifest(int version, int engine_slots, int timeout_ms, int latency_ms, int pause_ms) {
  const std::string slots = std::to_string(engine_slots);
  return R"({"version":)" + std::to_string(version) +
         R"(,"route-table":[{"name":"r-m","host":"m.example","path-prefix":"/s/","route-type":)"
         R"("streaming","timeout-ms":)" +
         std::to_string(timeout_ms) + R"(,"target-latency-ms":)" + std::to_string(latency_ms) +
         R"(,"priority":1,"backend":"m","max-attempts":2,"public":true,"session-affinity":true,)"
         R"("stream-resume":true,"target-itl-ms":)" +
         std::to_string(pause_ms) +
         R"(},{"name":"r-p","host":"p.example","path-prefix":"/p/","route-type":"idempotent",)"
         R"("timeout-ms":800,"target-latency-ms":150,"priority":2,"backend":"p","max-attempts":2,)"
         R"("public":true}],"backends":[{"name":"m","health-check-path":"/healthz",)"
         R"("max-connections":264,"protocol":"h1","tls":false,"runtime":{"batch-slots":)" +
         slots +
         R"(,"kv-cache-tokens":1180000,"kv-token-bytes":163840,"hash-stride":5,)"
         R"("model-list":[{"name":"w","pace":1.0,"load-time-s":4.0,"prewarm-s":0.3}],)"
         R"("size-mb":266000.0,"step_ms":8.87,"per_seq_ms":0.0388,"context_per_k":0.0227,)"
         R"("read_per_s":19100.0,"pairs_per_m":1.47,"chunk":2048,"report_lag_ms":200.0,)"
         R"("usual":{"prompt":977,"answer":94},"layers":16,"layer_mb":4540.0,"chunk-count":64,)"
         R"("chunk-bytes":32768}},{"name":"p","health-check-path":"/healthz","max-connections":96,)"
         R"("protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,)"
         R"("max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

Replica::Replica(Deployment& deployment, ReplicaSettings settings)
    : deployment_(deployment), settings_(std::move(settings)), born_(UnixMs()) {
  server_ =
      std::make_unique<Server>(settings_.address, [this](Channel& channel) { Serve(channel); });
  if (settings_.announce) Announce();
}

void Replica::Announce() {
  std::string fields =
      R"("backend":")" + std::string(settings_.model ? "m" : "p") + R"(","address":")" +
      settings_.address + R"(","zone":"bne-a","version":"v1","batch-slots":)" +
      std::to_string(settings_.slots) + R"(,"state":"ready","warmup-remaining-ms":0,"born":)" +
      std::to_string(born_);
  if (settings_.model) {
    fields += R"(,"phase":"unified","model-list":[{"name":"w","version":1,"loras":[]}],)"
              R"("layers":[{"source":0,"to":16,"version":1}])";
  }
  announcer_ = std::make_unique<Announcer>(deployment_, settings_.id, fields);
}

void Replica::StopAnnouncing() { announcer_.reset(); }

Replica::~Replica() { Crash(); }

void Replica::Crash() {
  announcer_.reset();
  server_->Crash();
}

void Replica::Serve(Channel& channel) {
  std::string rest;
  Message request;
  while (ReadMessage(channel, rest, request, 15)) {
    const std::string attempt = request.Header("attempt-id");
    const std::string load = "Replica-Load: " + std::to_string(running_.load()) + ",0," +
                             std::to_string(settings_.slots) + "\r\n" +
                             (leaving_ ? "Server-Leaving: 1\r\n" : "");
    const std::string target = request.Header("target-replica");
    if (!target.empty() && target != settings_.id) {
      channel.Write(AnswerHead(421, "Misdirected", request, "Not-Executed: 1\r\n" + load) +
                    "Content-Length: 0\r\n\r\n");
      continue;
    }
    if (request.first_line.starts_with("GET /healthz")) {
      channel.Write("HTTP/1.1 200 OK\r\nReplica-Id: " + settings_.id +
                    "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    if (running_ >= settings_.slots) {
      channel.Write(AnswerHead(503, "Full", request, "Not-Executed: 1\r\n" + load) +
                    "Content-Length: 0\r\n\r\n");
      continue;
    }
    ++running_;
    Record("run " + settings_.id + " " + attempt + " after " + request.Header("last-event-id"));
    const std::string receipt =
        "Replica-Signature: " + settings_.id + "." + std::to_string(++served_) + "\r\n" + load;
    bool open = true;
    if (settings_.model) {
      open = channel.Write(AnswerHead(200, "OK", request,
                                      receipt + "Content-Type: text/event-stream\r\n"
                                                "Weight-Versions: 1\r\n"
                                                "Transfer-Encoding: chunked\r\n\r\n"));
      const int after = std::atoi(request.Header("last-event-id").c_str());
      for (int i = after + 1; open && i <= settings_.events; ++i) {
        std::string more;
        const double until = Now() + (i == after + 1 ? settings_.first : settings_.step);
        // A client that leaves closes its channel; nothing else comes while a request runs.
        while (open && Now() < until) open = channel.Read(more, until - Now()) == -2;
        // Events without end: the caller has to close the channel.
        if (settings_.endless && i == 4) {
          std::string events;
          for (int n = i; open; ++n) {
            events += Chunk("id: " + std::to_string(n) + "\ndata: " + attempt + "\n\n");
            if (events.size() < kFloodBytes) continue;
            open = channel.Write(events);
            events.clear();
          }
        }
        open = open && channel.Write(Chunk("id: " + std::to_string(i) + "\ndata: " + attempt + " " +
                                           std::to_string(i) + "\n\n"));
      }
      open = open && channel.Write("0\r\n\r\n");
    } else {
      SleepFor(settings_.step);
      const std::string body = "answer to " + attempt;
      open = channel.Write(AnswerHead(200, "OK", request, receipt) +
                           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    --running_;
    Record((open ? "end " : "drop ") + settings_.id + " " + attempt);
    if (!open) return;
  }
}

std::shared_ptr<Channel> Client::channel() {
  const std::lock_guard lock(mutex_);
  return channel_;
}

Outcome Client::Send(const std::string& attempt_id, bool stream, int budget_ms, double longest_gap,
                     std::size_t upload) {
  Outcome outcome;
  auto channel = this->channel();
  if (!channel) {
    channel = std::make_shared<Channel>();
    rest_.clear();
    if (!channel->Connect(address_, 1.0)) return outcome;
    const std::lock_guard lock(mutex_);
    channel_ = channel;
  }
  const auto drop = [&] {
    const std::lock_guard lock(mutex_);
    channel_.reset();
  };
  std::string text = stream ? "POST /s/x HTTP/1.1\r\nHost: m.example\r\n"
                            : (upload > 0 ? "POST" : "GET") +
                                  (" /p/" + attempt_id + " HTTP/1.1\r\nHost: p.example\r\n");
  text += "Attempt-Id: " + attempt_id + "\r\nDeadline-Ms: " + std::to_string(budget_ms) + "\r\n";
  if (stream) {
    text += "Model: w\r\nToken-Usage: 600,100\r\nPrefix-Hash: " + attempt_id.substr(0, 4) +
            ":40,e" + attempt_id + ":560\r\n";
  }
  // Repeats of one request have the same body.
  std::string body = "prompt " + attempt_id.substr(0, attempt_id.size() - 4);
  if (upload > 0) body.assign(upload, 'x');
  if (stream || upload > 0) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n";
  if (stream || upload > 0) text += body;
  Record("send " + attempt_id);
  if (!channel->Write(text)) {
    drop();
    return outcome;
  }
  const double until = Now() + budget_ms / 1000.0;
  Message answer;
  if (!ReadMessage(*channel, rest_, answer, stream ? longest_gap : budget_ms / 1000.0)) {
    drop();
    return outcome;
  }
  outcome.status = answer.Status();
  outcome.retry_after = std::atof(answer.Header("retry-after").c_str());
  bool whole = answer.headers.contains("content-length");
  if (answer.Header("transfer-encoding") == "chunked") {
    constexpr std::string_view kEnd = "\r\n0\r\n\r\n";
    std::string tail;
    while (true) {
      for (auto at = rest_.find("id: "); at != std::string::npos; at = rest_.find("id: ", at + 1)) {
        ++outcome.events;
      }
      outcome.bytes += rest_.size();
      tail = (tail + rest_)
                 .substr((tail + rest_).size() - std::min(kEnd.size(), (tail + rest_).size()));
      rest_.clear();
      whole = tail == kEnd;
      if (whole || channel->Read(rest_, std::min(longest_gap, until - Now())) <= 0) break;
    }
    outcome.left = !whole && Now() >= until;
  }
  outcome.seconds = Now() - (until - budget_ms / 1000.0);
  if (!whole || answer.Header("connection") == "close") drop();
  outcome.served = whole && outcome.status == 200 && !answer.Header("replica-signature").empty();
  return outcome;
}

}  // namespace rig
