/// The members of a group at a given log index.
#pragma once

#include "base/endpoint.h"
#include "wire/codec.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace corianderhoist {

/// A member is identified by its data folder: a VM whose disk was replaced is a different member
/// with the same name.
struct group_member {
  std::string name;
  std::uint64_t replica_id = 0;
  std::string address;  ///< In the format of `FormatEndpoint`.
  bool is_voter = false;

  bool operator==(const group_member&) const = default;

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.name);
    visit(2, self.replica_id);
    visit(3, self.address);
    visit(4, self.is_voter);
  }
};

struct membership {
  std::vector<group_member> members;

  bool operator==(const membership&) const = default;

  const group_member* Find(std::uint64_t replica_id) const {
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [&](const group_member& member) { return member.replica_id == replica_id; });
    return found == members.end() ? nullptr : &*found;
  }
  const group_member* FindByName(const std::string& name) const {
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [&](const group_member& member) { return member.name == name; });
    return found == members.end() ? nullptr : &*found;
  }
  bool IsVoter(std::uint64_t replica_id) const {
    const group_member* member = Find(replica_id);
    return member != nullptr && member->is_voter;
  }
  std::size_t VoterCount() const {
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [](const group_member& member) { return member.is_voter; }));
  }
  std::size_t Majority() const { return VoterCount() / 2 + 1; }

  template <class Self, class Visitor>
  static void ForEachField(Self& self, Visitor&& visit) {
    visit(1, self.members);
  }
};

}  // namespace corianderhoist
