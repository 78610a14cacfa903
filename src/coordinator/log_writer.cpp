#include "coordinator/log_writer.h"

namespace corianderhoist {
namespace {

using std::chrono::milliseconds;

// A second command may travel while the first is being synced; more would only make batches small.
constexpr int kInFlight = 2;
constexpr milliseconds kTimeInterval(5'000);

rpc_result<region_result> Parse(const rpc_result<std::string>& reply) {
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
  Change([&](batch& into) {
    const std::size_t position = into.command.begins.size();
    into.command.begins.push_back(std::move(begin));
    into.finishers.emplace_back(
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
  Change([&](batch& into) {
    into.command.ends.push_back(std::move(end));
    into.finishers.emplace_back([done = std::move(done)](const rpc_result<region_result>& reply) {
      if (const auto* failure = std::get_if<rpc_failure>(&reply)) {
        done(*failure);
      } else {
        done(empty_message{});
      }
    });
  });
}

void log_writer::Add(std::vector<ejection_change> ejections) {
  Change([&](batch& into) {
    for (ejection_change& each : ejections) {
      into.command.ejections.push_back(std::move(each));
    }
  });
}

void log_writer::Block(const digest& fingerprint) {
  Change([&](batch& into) { into.command.blocks.push_back(fingerprint); });
}

void log_writer::Guarantee(std::vector<guarantee_change> changes, std::function<void(bool)> done) {
  Change([&](batch& into) {
    for (guarantee_change& each : changes) {
      into.command.guarantees.push_back(std::move(each));
    }
    into.finishers.emplace_back([done = std::move(done)](const rpc_result<region_result>& reply) {
      done(std::holds_alternative<region_result>(reply));
    });
  });
}

void log_writer::Config(config_fetch_reply news, callback<region_result> done) {
  // A command holds one configuration message, so it goes alone.
  region_command command;
  command.config = std::move(news);
  log_.Propose(Encode(command), [done = std::move(done)](const rpc_result<std::string>& reply) {
    done(Parse(reply));
  });
}

void log_writer::KeepTime() {
  {
    const std::lock_guard guard(lock_);
    if (in_flight_ > 0 || clock_.Now() - sent_at_ < kTimeInterval) {
      return;
    }
  }
  Change([](batch&) {});
}

void log_writer::Flush() {
  auto sent = std::make_shared<batch>();
  {
    const std::lock_guard guard(lock_);
    if (!has_collected_ || in_flight_ >= kInFlight) {
      return;
    }
    ++in_flight_;
    has_collected_ = false;
    std::swap(*sent, collected_);
    const steady_time now = clock_.Now();
    const std::uint64_t term = log_.LeadingTerm();
    if (term == term_) {
      sent->command.elapsed = std::chrono::duration_cast<milliseconds>(now - sent_at_);
      sent_at_ += sent->command.elapsed;
    } else {
      // The time before this leadership is not known; records then live longer.
      term_ = term;
      sent_at_ = now;
    }
  }
  log_.Propose(Encode(sent->command),
               [self = shared_from_this(), sent](const rpc_result<std::string>& reply) {
                 self->Finish(*sent, reply);
               });
}

void log_writer::Finish(const batch& sent, const rpc_result<std::string>& reply) {
  {
    const std::lock_guard guard(lock_);
    --in_flight_;
  }
  Flush();
  const rpc_result<region_result> parsed = Parse(reply);
  for (const finisher& each : sent.finishers) {
    each(parsed);
  }
}

}  // namespace corianderhoist
