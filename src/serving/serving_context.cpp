#include "serving/serving_context.h"

#include "base/hash.h"
#include "base/log.h"
#include "observe/metrics.h"

#include <utility>

namespace corianderhoist {
namespace {

// Records what an answer states about the requests that its upstream takes, and tells the others.
void NoteLimit(serving_context& context,
               upstream_handle upstream,
               const upstream_incarnation& incarnation,
               const upstream_statement& statement,
               const answer_head& head) {
  const bool is_unreadable =
      !statement.limit_per_kilosecond &&
      FindHeader(head.headers, context.settings.upstreams.statements.limit) != nullptr;
  if (is_unreadable) {
    return;  // It neither states a limit nor that there is none.
  }
  const auto former = context.limits.LimitOf(upstream);
  if (!context.limits.Note(upstream, statement.limit_per_kilosecond)) {
    return;
  }
  context.link.NoteLimit({upstream, statement.limit_per_kilosecond.value_or(0)});
  if (former != context.limits.LimitOf(upstream)) {
    log_event(log_level::kInfo, "upstream_limit")
        .Field("upstream", incarnation.id)
        .Field("per_kilosecond", std::int64_t(statement.limit_per_kilosecond.value_or(0)))
        .Field("former_per_kilosecond", std::int64_t(former.value_or(0)))
        .Field("active_vms", std::uint64_t(context.view.Limits().active_vms));
  }
}

}  // namespace

serving_context::serving_context(serving_settings initial_settings,
                                 fleet_view& shared_view,
                                 fleet_link& shared_link,
                                 const clock_source& time)
    : settings(std::move(initial_settings)),
      clock(time),
      buffers(settings.buffer_bytes),
      view(shared_view),
      link(shared_link),
      admission_control(settings.admission, shared_view, time),
      repeats(settings.repeats, time),
      hedges(settings.hedging, settings.repeats, time),
      connections(time, &buffers),
      tracker(shared_view, shared_link, settings.place, settings.vm, time),
      statements(time, FastHash(RandomBytes(16))),
      limits(shared_view, time, FastHash(settings.vm)),
      random(FastHash(RandomBytes(16))),
      drain(settings.drain),
      waits(settings.state_wait, settings.admission.withdrawal_bound, buffers, time.Now()),
      queues(*this) {}

void NoteStatement(serving_context& context,
                   upstream_handle upstream,
                   const upstream_incarnation& incarnation,
                   const answer_head& head) {
  const upstream_statement statement = ReadStatement(head, context.settings.upstreams.statements);
  NoteLimit(context, upstream, incarnation, statement, head);
  if (statement.IsEmpty()) {
    return;
  }
  static counter& heard = metrics::Instance().Counter("upstream_statements.heard");
  static counter& invalid = metrics::Instance().Counter("upstream_statements.invalid");
  heard.Add();
  const bool has_changed = context.statements.Note(incarnation, statement);
  if (has_changed) {
    log_event(log_level::kInfo, "upstream_statement")
        .Field("upstream", incarnation.id)
        .Field("started_ms", std::int64_t(incarnation.started.time_since_epoch().count()))
        .Field("is_leaving", static_cast<int>(statement.is_leaving))
        .Field("closed_ms", std::int64_t(statement.closed_for.count()))
        .Field("status", head.status);
  }
  if (!statement.invalid_values.empty()) {
    invalid.Add(statement.invalid_values.size());
    log_event(log_level::kWarning, "upstream_statement_invalid")
        .Field("upstream", incarnation.id)
        .Field("started_ms", std::int64_t(incarnation.started.time_since_epoch().count()))
        .Field("value", statement.invalid_values.front())
        .Field("status", head.status);
  }
}

void NoteKeptAway(serving_context& context, const upstream_incarnation& incarnation) {
  static counter& kept_away = metrics::Instance().Counter("upstream_statements.kept_away");
  kept_away.Add();
  context.statements.NoteKeptAway(incarnation);
}

}  // namespace corianderhoist
