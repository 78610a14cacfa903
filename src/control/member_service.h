/// `control.member`: membership changes of a replicated group by operators. Served by control and
/// by coordinators.
#pragma once

#include "consensus/replica.h"
#include "wire/rpc.h"

#include <cstdint>
#include <string>
#include <vector>

namespace corianderhoist {

/// New members join as learners, which do not vote; `kPromote` makes a learner a voter.
enum class member_operation { kList, kAdd, kPromote, kRemove };

struct member_request {
  member_operation operation = member_operation::kList;
  std::string name;     ///< Member to add, promote or remove.
  std::string address;  ///< "IP:PORT" of the member to add.

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.operation);
    visit(2, self.name);
    visit(3, self.address);
  }
};

/// The state of the group after the operation, as known to the member that replies.
struct member_reply {
  std::string role;  ///< Leader, candidate, follower, learner, joining or failed.
  std::string leader;
  std::vector<std::string> voters;
  std::vector<std::string> learners;
  std::uint64_t commit_index = 0;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.role);
    visit(2, self.leader);
    visit(3, self.voters);
    visit(4, self.learners);
    visit(5, self.commit_index);
  }
};

/// Registers `control.member` for operators; call before the server listens. `group` must outlive
/// all calls of the method.
void RegisterMemberService(rpc_server& server, replica& group);

}  // namespace corianderhoist
