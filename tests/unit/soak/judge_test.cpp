// Hand-made histories: each broken promise is found, and the allowed neighbour case is not.
#include "soak/judge.h"
#include "support/test_table.h"

#include <functional>
#include <string>
#include <vector>

namespace corianderhoist::soak {
namespace {

constexpr const char* kAttempt = "a1";

sent_request Unsafe(run_time at) {
  return {kAttempt, at, 0, true, "key", run_time(4000)};
}

sent_request Safe(run_time at) {
  return {kAttempt, at, 0, false, "key", run_time(4000)};
}

upstream_run Run(run_time at, const std::string& upstream = "u1") {
  upstream_run run;
  run.attempt = kAttempt;
  run.at = at;
  run.upstream = upstream;
  run.status = 200;
  run.signature = upstream + ".1";
  run.body = "whole body";
  run.work = run_time(50);
  return run;
}

caller_outcome Answer(run_time at, int status = 200) {
  const bool is_own = status == 200;
  return {kAttempt,
          at,
          status,
          true,
          false,
          kAttempt,
          is_own ? "u1.1" : "",
          is_own ? "whole body" : ""};
}

caller_outcome NoAnswer(run_time at) {
  return {kAttempt, at};
}

fault_record Fault(fault_kind kind, run_time begin, run_time end, const std::string& name = "") {
  return {kind, 0, name, begin, end};
}

struct history_case {
  std::string name;
  std::function<void(judge&)> play;
  std::vector<std::string> rules;  ///< Of the expected findings, in their order.
};

std::vector<std::string> RulesOf(const judge& verdicts) {
  std::vector<std::string> rules;
  for (const finding& each : verdicts.Findings()) {
    rules.push_back(each.rule);
  }
  return rules;
}

constexpr run_time kSent{10'000};

run_time After(int milliseconds) {
  return kSent + run_time(milliseconds);
}

// Plays an answer that differs from the own and whole one.
std::function<void(judge&)> ChangedAnswer(const std::function<void(caller_outcome&)>& change) {
  return [change](judge& verdicts) {
    verdicts.Sent(Safe(kSent));
    verdicts.Ran(Run(After(10)));
    caller_outcome answer = Answer(After(80));
    change(answer);
    verdicts.Ended(answer);
  };
}

// Plays a request that is sent some time after SIGTERM and ends without an answer.
std::function<void(judge&)> CutInStop(int sent_ms,
                                      int ended_ms,
                                      const std::function<void(upstream_run&)>& change = {}) {
  return [=](judge& verdicts) {
    verdicts.BeginFault(Fault(fault_kind::kStopEntry, kSent, After(7000)));
    verdicts.Sent(Unsafe(After(sent_ms)));
    upstream_run run = Run(After(sent_ms + 10));
    if (change) {
      change(run);
    }
    verdicts.Ran(run);
    verdicts.Ended(NoAnswer(After(ended_ms)));
  };
}

// Plays as many denied requests as break the rule.
void Deny(judge& verdicts) {
  for (const char* attempt : {"a1", "a2", "a3", "a4", "a5", "a6"}) {
    sent_request request = Unsafe(kSent);
    request.attempt = attempt;
    verdicts.Sent(request);
    verdicts.Ended({attempt, After(20), 404, true});
  }
}

const test_table kHistories(
    "soak judge",
    std::vector<history_case>{
        {"own and whole answer", ChangedAnswer([](caller_outcome&) {}), {}},
        {"answer of another request",
         ChangedAnswer([](caller_outcome& answer) { answer.echoed_attempt = "a2"; }),
         {"MIXED"}},
        {"success without signature",
         ChangedAnswer([](caller_outcome& answer) { answer.signature = ""; }),
         {"MIXED"}},
        {"signature of another run",
         ChangedAnswer([](caller_outcome& answer) { answer.signature = "u2.7"; }),
         {"MIXED"}},
        {"success for a failure of the upstream",
         ChangedAnswer([](caller_outcome& answer) { answer.status = 500; }),
         {"MIXED"}},
        {"broken answer that looks complete",
         ChangedAnswer([](caller_outcome& answer) { answer.body = "whole"; }),
         {"MIXED"}},
        {"broken answer that does not look complete",
         ChangedAnswer([](caller_outcome& answer) {
           answer.body = "whole";
           answer.is_complete = false;
           answer.has_timed_out = true;
         }),
         {}},
        {"bytes for no request",
         [](judge& verdicts) { verdicts.ReceivedUnasked(kSent, 0, "HTTP/1.1 200 OK\r\n"); },
         {"MIXED"}},
        {"own 408 of an idle connection",
         [](judge& verdicts) { verdicts.ReceivedUnasked(kSent, 0, "HTTP/1.1 408 Timeout\r\n"); },
         {}},
        {"unsafe request that ran twice",
         [](judge& verdicts) {
           verdicts.Sent(Unsafe(kSent));
           verdicts.Ran(Run(After(10)));
           verdicts.Ran(Run(After(60), "u2"));
         },
         {"TWICE"}},
        {"safe request that ran twice",
         [](judge& verdicts) {
           verdicts.Sent(Safe(kSent));
           verdicts.Ran(Run(After(10)));
           verdicts.Ran(Run(After(60), "u2"));
         },
         {}},
        {"run that nobody sent", [](judge& verdicts) { verdicts.Ran(Run(kSent)); }, {"UNASKED"}},
        {"run with a changed body",
         [](judge& verdicts) {
           verdicts.Sent(Safe(kSent));
           upstream_run run = Run(After(10));
           run.fault = "body of 3 bytes instead of 5";
           verdicts.Ran(run);
         },
         {"UNASKED"}},
        {"refused request that had run",
         [](judge& verdicts) {
           verdicts.Sent(Unsafe(kSent));
           verdicts.Ran(Run(After(10)));
           verdicts.Ended(Answer(After(80), 503));
         },
         {"REFUSED"}},
        {"refused request that runs later",
         [](judge& verdicts) {
           verdicts.Sent(Unsafe(kSent));
           verdicts.Ended(Answer(After(80), 429));
           verdicts.Ran(Run(After(90)));
         },
         {"REFUSED"}},
        {"502 for a request that had run without a stop",
         [](judge& verdicts) {
           verdicts.Sent(Unsafe(kSent));
           verdicts.Ran(Run(After(10)));
           verdicts.Ended(Answer(After(80), 502));
         },
         {}},
        {"request sent late in a stop and cut", CutInStop(5000, 5600), {"LOST"}},
        {"request cut in a stop whose run is reported after it",
         [](judge& verdicts) {
           verdicts.BeginFault(Fault(fault_kind::kStopEntry, kSent, After(7000)));
           verdicts.Sent(Unsafe(After(100)));
           verdicts.Ended(NoAnswer(After(600)));
           verdicts.Ran(Run(After(601)));
         },
         {"LOST"}},
        {"long request sent early in a stop and cut at its end",
         CutInStop(100, 5900, [](upstream_run& run) { run.work = run_time(9000); }),
         {}},
        {"long request sent late in a stop and cut at its end",
         CutInStop(3500, 5900, [](upstream_run& run) { run.work = run_time(9000); }),
         {"LOST"}},
        {"request cut in a stop because its upstream broke off",
         CutInStop(100, 200, [](upstream_run& run) { run.is_sound = false; }),
         {}},
        {"request cut in a stop beside a crash",
         [](judge& verdicts) {
           verdicts.BeginFault(Fault(fault_kind::kKillCore, kSent, After(100)));
           CutInStop(500, 700)(verdicts);
         },
         {}},
        {"own answer in a stop in place of a run at work",
         [](judge& verdicts) {
           verdicts.BeginFault(Fault(fault_kind::kStopEntry, kSent, After(7000)));
           verdicts.Sent(Unsafe(After(100)));
           upstream_run run = Run(After(110));
           run.work = run_time(1000);
           verdicts.Ran(run);
           verdicts.Ended(Answer(After(500), 504));
         },
         {"LOST"}},
        {"four requests cut in calm",
         [](judge& verdicts) {
           for (const char* attempt : {"a1", "a2", "a3", "a4"}) {
             sent_request request = Unsafe(kSent);
             upstream_run run = Run(After(10));
             request.attempt = run.attempt = attempt;
             verdicts.Sent(request);
             verdicts.Ran(run);
             verdicts.Ended({attempt, After(20)});
           }
         },
         {"LOST"}},
        {"request to an upstream that left",
         [](judge& verdicts) {
           verdicts.AcknowledgedLeaving("u1", kSent);
           verdicts.Sent(Safe(After(2450)));
           verdicts.Ran(Run(After(2600)));
         },
         {"DRAIN"}},
        {"request to an upstream that is leaving",
         [](judge& verdicts) {
           verdicts.AcknowledgedLeaving("u1", kSent);
           verdicts.Sent(Safe(After(2300)));
           verdicts.Ran(Run(After(2400)));
         },
         {}},
        {"request to an upstream that left, from a VM that was paused",
         [](judge& verdicts) {
           verdicts.AcknowledgedLeaving("u1", kSent);
           verdicts.BeginFault(Fault(fault_kind::kPauseEntry, kSent, After(2000)));
           verdicts.Sent(Safe(After(2450)));
           verdicts.Ran(Run(After(2600)));
         },
         {}},
        {"run with a withdrawn key",
         [](judge& verdicts) {
           verdicts.AcknowledgedChange(2, kSent, "key");
           verdicts.Sent(Safe(After(5001)));
           verdicts.Ran(Run(After(5010)));
         },
         {"CONFIG"}},
        {"run with a key that was just withdrawn",
         [](judge& verdicts) {
           verdicts.AcknowledgedChange(2, kSent, "key");
           verdicts.Sent(Safe(After(4999)));
           verdicts.Ran(Run(After(5010)));
         },
         {}},
        {"read of an overtaken configuration",
         [](judge& verdicts) {
           verdicts.AcknowledgedChange(2, kSent, {});
           verdicts.ReadConfiguration(1, After(2501), After(2510), true);
         },
         {"CONFIG"}},
        {"read of a changed configuration",
         [](judge& verdicts) { verdicts.ReadConfiguration(1, kSent, After(5), false); },
         {"CONFIG"}},
        {"lost configuration",
         [](judge& verdicts) { verdicts.LostConfiguration(kSent); },
         {"CONFIG"}},
        {"process that ended by itself",
         [](judge& verdicts) { verdicts.ProcessEnded("core-1", kSent, "ended by itself"); },
         {"PROCESS"}},
        {"proper requests that are denied", [](judge& verdicts) { Deny(verdicts); }, {"DENIED"}},
        {"requests denied while the withdrawal of their key is sent",
         [](judge& verdicts) {
           verdicts.SentWithdrawal("key");
           Deny(verdicts);
         },
         {}},
        {"requests denied right after their key was added",
         [](judge& verdicts) {
           verdicts.AcknowledgedChange(2, After(-2400), {}, "key");
           Deny(verdicts);
         },
         {}},
        {"requests denied long after their key was added",
         [](judge& verdicts) {
           verdicts.AcknowledgedChange(2, After(-2600), {}, "key");
           Deny(verdicts);
         },
         {"DENIED"}},
    },
    std::function([](const history_case& row) {
      judge verdicts{promised_bounds()};
      row.play(verdicts);
      std::string seen;
      for (const finding& each : verdicts.Findings()) {
        seen += each.rule + " " + each.detail + "\n";
      }
      CPPUNIT_ASSERT_MESSAGE(seen, row.rules == RulesOf(verdicts));
    }));

}  // namespace
}  // namespace corianderhoist::soak
