// Retry budget of the services: permits for the ingress processes, and the blocks that the log
// holds.
#include "control_node.h"
#include "wagtailslip/mesh/codec.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::control {

using process::Event;
using process::LogEvent;

bool ControlNode::LeadsRetries(TimePoint now) {
  // Until an entry of the term is committed, the applied state may lack blocks of former leaders.
  if (!log_->HasLeaderLease(now) || !log_->CaughtUp()) return false;
  const std::uint64_t term = log_->replica().term();
  if (term == retry_term_) return true;
  retry_term_ = term;
  retry_allocator_.TakeOver(log_->state().retry_blocks, now);
  LogEvent(Event::kRetryAllocatorStarted,
           {{"term", term}, {"inherited_blocks", retry_allocator_.inherited_blocks()}});
  return true;
}

void ControlNode::OnRetryReport(const mesh::Member& from, const wire::Retries& retries,
                                TimePoint now) {
  if (!LeadsRetries(now)) return;
  const auto report = mesh::RetryReportFromWire(retries, from.process, from.incarnation);
  wire::MeshMessage reply;
  reply.__set_retries(mesh::ToWire(retry_allocator_.Grant(report, now)));
  mesh_->Send(from.process, reply);
  CommitRetryBlocks(now);
}

void ControlNode::CommitRetryBlocks(TimePoint now) {
  if (!LeadsRetries(now)) return;
  const auto blocks = retry_allocator_.BlocksToCommit(now);
  if (!blocks) return;
  Command command;
  command.retry_blocks = blocks;
  log_->Propose(
      command,
      [this, term = retry_term_, blocks = *blocks](bool committed) {
        // The allocator of another term has no command under way.
        if (term != retry_term_) return;
        retry_allocator_.OnBlocksCommitted(committed);
        LogEvent(Event::kRetryBlocksCommitted,
                 {{"blocks", blocks},
                  {"inherited_blocks", retry_allocator_.inherited_blocks()},
                  {"committed", committed}});
      },
      now);
}

}  // namespace wagtailslip::control
