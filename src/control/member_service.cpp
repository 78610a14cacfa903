#include "control/member_service.h"

#include "base/log.h"

namespace corianderhoist {
namespace {

member_reply MakeReply(const replica& group) {
  replica_status status = group.Status();
  return {std::move(status.role), std::move(status.leader), std::move(status.voters),
          std::move(status.learners), status.commit_index};
}

replica::proposal_callback ReplyWhenDone(replica& group,
                                         const std::string& caller,
                                         const member_request& request,
                                         rpc_callback<member_reply> reply) {
  return
      [&group, caller, request, reply = std::move(reply)](const rpc_result<std::string>& outcome) {
        const auto* failure = std::get_if<rpc_failure>(&outcome);
        log_event(log_level::kInfo, "membership_change")
            .Field("operation", static_cast<int>(request.operation))
            .Field("member", request.name)
            .Field("operator", caller)
            .Field("cause", failure == nullptr ? std::string() : failure->detail);
        if (failure != nullptr) {
          reply(*failure);
        } else {
          reply(MakeReply(group));
        }
      };
}

void Add(replica& group,
         const std::string& caller,
         const member_request& request,
         const rpc_callback<member_reply>& reply) {
  Recover(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(address, ParseEndpoint(request.address));
        group.AddLearner({request.name, address}, ReplyWhenDone(group, caller, request, reply));
        return {};
      },
      [&](const error& failure) {
        reply(rpc_failure{failure.kind, failure.detail, {}});
      });
}

}  // namespace

void RegisterMemberService(rpc_server& server, replica& group) {
  server.Handle<member_request, member_reply>(
      "control.member", {"operator"},
      [&group](const rpc_context& context, const member_request& request,
               const rpc_callback<member_reply>& reply) {
        const std::string& caller = context.peer.name;
        if (request.operation != member_operation::kList && request.name.empty()) {
          reply(rpc_failure{error_kind::kBadRequest, "the name of the member is missing", {}});
          return;
        }
        switch (request.operation) {
          case member_operation::kList:
            reply(MakeReply(group));
            return;
          case member_operation::kAdd:
            Add(group, caller, request, reply);
            return;
          case member_operation::kPromote:
            group.Promote(request.name, ReplyWhenDone(group, caller, request, reply));
            return;
          case member_operation::kRemove:
            group.Remove(request.name, ReplyWhenDone(group, caller, request, reply));
            return;
        }
        reply(rpc_failure{error_kind::kBadRequest, "unknown operation", {}});
      });
}

}  // namespace corianderhoist
