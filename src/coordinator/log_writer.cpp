#include "coordinator/log_writer.h"

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// Two commands overlap replication of one with the disk sync of the other. More commands in flight
// would only make the batches smaller.
constexpr int kMaxCommandsInFlight = 2;
constexpr milliseconds kIdleCommandInterval(5'000);

rpc_result<region_result> DecodeReply(const rpc_result<std::string>& reply) {
  if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
    return *failure;
  }
  return Recover(
      [&]() -> result<rpc_result<region_result>> {
        BOOST_LEAF_AUTO(message, Decode<region_result>(std::get<std::string>(reply)));
        return rpc_result<region_result>(std::move(message));
      },
      [](const error& failure) {
        return rpc_result<region_result>(rpc_failure{failure.kind, failure.detail, {}});
      });
}

}  // namespace

void log_writer::Begin(record_begin begin, callback<begin_result> done) {
  AddToBatch([&](batch& into) {
    const std::size_t position = into.command.begins.size();
    into.command.begins.push_back(std::move(begin));
    into.completions.emplace_back(
        [position, done = std::move(done)](const rpc_result<region_result>& reply) {
          if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
            done(*failure);
            return;
          }
          const auto& begins = std::get<region_result>(reply).begins;
          if (position >= begins.size()) {
            done(rpc_failure{error_kind::kInternal, "record without a result", {}});
            return;
          }
          done(begins[position]);
        });
  });
}

void log_writer::End(record_end end, callback<empty_message> done) {
  AddToBatch([&](batch& into) {
    into.command.ends.push_back(std::move(end));
    into.completions.emplace_back([done = std::move(done)](const rpc_result<region_result>& reply) {
      if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
        done(*failure);
      } else {
        done(empty_message{});
      }
    });
  });
}

void log_writer::AddEjectionChanges(std::vector<ejection_change> ejections) {
  AddToBatch([&](batch& into) {
    for (ejection_change& each : ejections) {
      into.command.ejections.push_back(std::move(each));
    }
  });
}

void log_writer::Block(const digest& fingerprint) {
  AddToBatch([&](batch& into) { into.command.blocks.push_back(fingerprint); });
}

void log_writer::CommitGuarantees(std::vector<guarantee_change> changes,
                                  std::function<void(bool)> done) {
  AddToBatch([&](batch& into) {
    for (guarantee_change& each : changes) {
      into.command.guarantees.push_back(std::move(each));
    }
    into.completions.emplace_back([done = std::move(done)](const rpc_result<region_result>& reply) {
      done(std::holds_alternative<region_result>(reply));
    });
  });
}

void log_writer::CommitConfig(config_fetch_reply update, callback<region_result> done) {
  // A command holds at most one configuration update, so it is proposed without a batch.
  region_command command;
  command.config = std::move(update);
  log_.Propose(Encode(command), [done = std::move(done)](const rpc_result<std::string>& reply) {
    done(DecodeReply(reply));
  });
}

void log_writer::AdvanceRegionTime() {
  {
    const std::lock_guard guard(lock_);
    if (in_flight_ > 0 || clock_.Now() - sent_at_ < kIdleCommandInterval) {
      return;
    }
  }
  AddToBatch([](batch&) {});
}

void log_writer::Flush() {
  auto sent = std::make_shared<batch>();
  {
    const std::lock_guard guard(lock_);
    if (!has_pending_ || in_flight_ >= kMaxCommandsInFlight) {
      return;
    }
    ++in_flight_;
    has_pending_ = false;
    std::swap(*sent, pending_);
    const steady_time now = clock_.Now();
    const std::uint64_t term = log_.LeadingTerm();
    if (term == term_) {
      sent->command.elapsed = std::chrono::duration_cast<milliseconds>(now - sent_at_);
      sent_at_ += sent->command.elapsed;
    } else {
      // The time since the previous leader's last command is unknown and not counted, so records
      // are kept longer.
      term_ = term;
      sent_at_ = now;
    }
  }
  log_.Propose(Encode(sent->command),
               [self = shared_from_this(), sent](const rpc_result<std::string>& reply) {
                 self->OnReply(*sent, reply);
               });
}

void log_writer::OnReply(const batch& sent, const rpc_result<std::string>& reply) {
  {
    const std::lock_guard guard(lock_);
    --in_flight_;
  }
  Flush();
  const rpc_result<region_result> parsed = DecodeReply(reply);
  for (const completion& each : sent.completions) {
    each(parsed);
  }
}

}  // namespace corianderhoist
